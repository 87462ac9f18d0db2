/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ReadTurns, type ReadTurn } from '../../../../lib/routing/attempts/read-turns.js'

/** Some bodies that are read by one process. */
class Bodies {
  readonly turns: ReadTurn[]
  private readonly _paused: boolean[]

  constructor (count: number, concurrent: number) {
    const all = new ReadTurns(concurrent)
    this._paused = Array.from({ length: count }, () => false)
    this.turns = this._paused.map((_, index) => all.begin({ pause: () => { this._paused[index] = true }, resume: () => { this._paused[index] = false } }))
  }

  read (index: number, pieces: number, bytes: number): void {
    for (let piece = 0; piece < pieces; piece += 1) this.turns[index]?.read(bytes)
  }

  get paused (): number[] { return this._paused.flatMap((paused, index) => paused ? [index] : []) }
}

const cases: [name: string, play: (bodies: Bodies) => void, paused: number[]][] = [
  ['large pieces', bodies => { for (const index of [0, 1, 2]) bodies.read(index, 5_000, 65_536) }, []],
  ['a few small pieces', bodies => { for (const index of [0, 1, 2]) bodies.read(index, 100, 1) }, []],
  ['one body in small pieces', bodies => bodies.read(0, 100_000, 1), []],
  ['more bodies in small pieces than are read at a time', bodies => { for (const index of [0, 1, 2]) bodies.read(index, 300, 1) }, [1, 2]],
  ['a body that was read for its turn', bodies => { for (const index of [0, 1, 2]) bodies.read(index, 300, 1); bodies.read(0, 2_048, 1) }, [0, 2]],
  ['turns that come round', bodies => { for (const index of [0, 1, 0, 1, 0]) bodies.read(index, 4_000, 1) }, [0]],
  ['a body that ends', bodies => { for (const index of [0, 1, 2]) bodies.read(index, 300, 1); bodies.turns[0]?.end() }, [2]],
  ['a body that ends while it waits', bodies => { for (const index of [0, 1, 2]) bodies.read(index, 300, 1); bodies.turns[1]?.end() }, [2]]
]

// Without turns, some hundred bodies in chunks of one byte take all the time of an entry.
describe('ReadTurns', () => {
  for (const [name, play, paused] of cases) {
    it(`pauses bodies: ${name}`, () => {
      const bodies = new Bodies(3, 1)
      play(bodies)
      assert.deepEqual(bodies.paused, paused)
    })
  }
})
