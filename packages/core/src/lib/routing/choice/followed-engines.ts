/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Selects the engines that an entry follows and sends to. Each load report goes to every entry that follows the engine, and each entry
 * measures the round trip time to every engine that it follows, so following all pairs costs the square of the deployment's size: an
 * entry used 0.066 of a core with 120 engines and 98 entries, and 0.029 with 9 and 15. A choice among a dozen engines is nearly as
 * good as one among all.
 */
import { hash32 } from '../../rendezvous.js'

/** An engine, identified by its agent. */
export interface EngineLocation {
  readonly agent: string
  readonly availabilityZone: string
}

/** The largest number of engines of which an entry follows all. */
export const FOLLOW_ALL_UP_TO = 24
/** The number of engines followed in larger deployments, and how many of them may be in the entry's own zone. */
const MAX_FOLLOWED = 20
const MAX_FOLLOWED_IN_ZONE = 12

/**
 * The agents that an entry follows, selected by rendezvous hashing of the entry's and the agents' names: the selection is the same
 * after a restart, an agent that joins or leaves hardly changes the selection of the others, and followers are spread nearly evenly
 * over engines.
 *
 * @param self The entry's name.
 * @example
 * const agents = enginesToFollow('entry-7', 'hall-1', engines)
 */
export function enginesToFollow (self: string, zone: string, engines: readonly EngineLocation[]): ReadonlySet<string> {
  if (engines.length <= FOLLOW_ALL_UP_TO) return new Set(engines.map(({ agent }) => agent))
  const byZone = groupByZone(engines)
  const rank = (agents: readonly string[]): string[] => agents
    .map(agent => ({ agent, weight: hash32(`${self} ${agent}`) }))
    .sort((left, right) => right.weight - left.weight)
    .map(({ agent }) => agent)
  const ownZone = rank(byZone.get(zone) ?? []).slice(0, MAX_FOLLOWED_IN_ZONE)
  const otherZones = [...byZone].filter(([name]) => name !== zone).map(([, agents]) => rank(agents))
  return new Set([...ownZone, ...roundRobin(otherZones, MAX_FOLLOWED - ownZone.length)])
}

function groupByZone (engines: readonly EngineLocation[]): Map<string, string[]> {
  const groups = new Map<string, string[]>()
  for (const { agent, availabilityZone } of engines) {
    const group = groups.get(availabilityZone) ?? []
    group.push(agent)
    groups.set(availabilityZone, group)
  }
  return groups
}

/** Takes one item of each list in turn (round robin), up to `count` items. */
function roundRobin (lists: readonly (readonly string[])[], count: number): string[] {
  const taken: string[] = []
  const longest = Math.max(0, ...lists.map(list => list.length))
  for (let round = 0; round < longest; round += 1) taken.push(...lists.flatMap(list => list.slice(round, round + 1)))
  return taken.slice(0, count)
}
