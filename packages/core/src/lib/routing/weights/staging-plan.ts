/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Plans how chunks that an engine's staging area already holds are brought to the places where a version needs them, so that
 * chunks that moved or repeat are not fetched again. The staging area has one place per chunk, and a write overwrites it.
 */

/** One step of a plan. A chunk is read at most once, before its place is overwritten. */
export type RearrangementStep =
  | { readonly type: 'read', readonly digest: string, readonly place: number }
  | { readonly type: 'write', readonly digest: string, readonly places: readonly number[] }

interface Move {
  readonly digest: string
  readonly from: number
  readonly to: readonly number[]
}

/**
 * Returns the places at which a version needs each of its chunks, by digest.
 *
 * @param digests The digests of the version's chunks in order.
 * @example
 * placesByDigest(['a', 'b', 'a']).get('a') // [0, 2]
 */
export function placesByDigest (digests: readonly string[]): ReadonlyMap<string, readonly number[]> {
  const places = new Map<string, number[]>()
  digests.forEach((digest, place) => {
    const known = places.get(digest)
    if (known === undefined) places.set(digest, [place])
    else known.push(place)
  })
  return places
}

/**
 * Plans the reads and writes that bring all held chunks of a version to their places. Each chunk is written right after it was
 * read, except for one of each cycle, which is read ahead; so few chunks are in memory at a time.
 *
 * @param contents The digests of the chunks that are staged, by place.
 * @param digests The digests of the version's chunks in order.
 * @example
 * planRearrangement(new Map([[0, 'a']]), ['b', 'a']) // reads 'a' at place 0, writes it to place 1
 */
export function planRearrangement (contents: ReadonlyMap<number, string>, digests: readonly string[]): RearrangementStep[] {
  const moves = plannedMoves(contents, digests)
  const moveBySource = new Map(moves.map(move => [move.from, move]))
  const steps: RearrangementStep[] = []
  const started = new Set<Move>()
  const read = new Set<Move>()
  const readOnce = (move: Move): void => {
    if (read.has(move)) return
    read.add(move)
    steps.push({ type: 'read', digest: move.digest, place: move.from })
  }
  for (const first of moves) {
    // A stack in place of recursion: a version whose chunks all moved by one place is a single chain.
    const path = read.has(first) ? [] : [first]
    for (let move = path.at(-1); move !== undefined; move = path.at(-1)) {
      started.add(move)
      const overwritten = move.to.map(place => moveBySource.get(place)).find(other => other !== undefined && !read.has(other))
      if (overwritten === undefined) {
        path.pop()
        readOnce(move)
        steps.push({ type: 'write', digest: move.digest, places: move.to })
      } else if (started.has(overwritten)) readOnce(overwritten)
      else path.push(overwritten)
    }
  }
  return steps
}

function plannedMoves (contents: ReadonlyMap<number, string>, digests: readonly string[]): Move[] {
  const holders = new Map([...contents].map(([place, digest]) => [digest, place]))
  return [...placesByDigest(digests)].flatMap(([digest, places]) => {
    const to = places.filter(place => contents.get(place) !== digest)
    // A place that already holds the right chunk is not overwritten.
    const from = places.find(place => contents.get(place) === digest) ?? holders.get(digest)
    return from === undefined || to.length === 0 ? [] : [{ digest, from, to }]
  })
}
