/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { BodyBuffer } from '../../lib/body-buffer.js'

const cases: [name: string, largest: number, pieces: readonly number[], mostCapacity: number][] = [
  ['no piece', 100, [], 0],
  ['one piece', 100, [60], 60],
  ['pieces of one byte', 5_000, Array.from({ length: 5_000 }, () => 1), 5_000],
  ['pieces that fill it', 100, [60, 40], 100],
  ['large pieces', 300_000, [65_536, 65_536, 65_536], 300_000],
  ['an empty piece', 100, [10, 0, 10], 100]
]

describe('BodyBuffer', () => {
  for (const [name, largest, lengths, mostCapacity] of cases) {
    it(`collects ${name}`, () => {
      const body = new BodyBuffer(largest)
      const pieces = lengths.map((length, index) => Buffer.alloc(length, index % 256))
      for (const piece of pieces) body.append(piece)
      assert.ok(body.capacity <= mostCapacity, `${body.capacity} bytes`)
      assert.deepEqual(body.take(), Buffer.concat(pieces))
      assert.equal(body.capacity, 0)
    })
  }
})
