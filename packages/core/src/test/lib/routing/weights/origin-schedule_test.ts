/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { OriginSchedule, type OriginView } from '../../../../lib/routing/weights/origin-schedule.js'

/** A copy of 40 chunks leaves the origin in 4 s, so each takes 100 ms. */
const CHUNKS = 40
const schedule = new OriginSchedule(CHUNKS, { originCopyTime: 4_000, stepInPatience: 600, originStagger: 250 })

const START = 10_000
const all = Array.from({ length: CHUNKS }, (_, index) => index)

/** What is seen so long after the start, when the first chunks are held, all but one perhaps. */
function viewAt (elapsed: number, held: number, { failedAt = -Infinity, but = -1, startedAt = START } = {}): OriginView {
  return { now: START + elapsed, namedAt: START, startedAt, failedAt, unheld: all.filter(index => index >= held || index === but) }
}

describe('OriginSchedule', () => {
  const cases: [name: string, index: number, turn: number, view: OriginView, expected: boolean][] = [
    ['one of the first chunks at once', 23, 0, viewAt(0, 0), true],
    ['a later one not yet', 24, 0, viewAt(0, 0), false],
    ['it once those before it have left the origin', 24, 0, viewAt(0, 1), true],
    ['it when its time has come, whatever the others do', 24, 0, viewAt(2_400, 0), true],
    ['a chunk of another member not when it is due', 4, 1, viewAt(400, 4), false],
    ['it when it is overdue', 4, 1, viewAt(1_000, 11, { but: 4 }), true],
    ['it not before', 4, 1, viewAt(999, 11, { but: 4 }), false],
    ['one that some member holds', 4, 0, viewAt(400, 5), false],
    ['it late neither', 4, 1, viewAt(4_000, 5), false],
    ['it later by the next turn', 4, 2, viewAt(1_249, 14, { but: 4 }), false],
    ['it at the next turn', 4, 2, viewAt(1_250, 14, { but: 4 }), true],
    ['it later when the origin is slow', 4, 1, viewAt(1_000, 6, { but: 4 }), false],
    ['it as much later as the origin is behind', 4, 1, viewAt(1_500, 11, { but: 4 }), true],
    ['its own chunk at once when it begins late', 8, 0, viewAt(2_000, 0, { startedAt: START + 2_000 }), true],
    ['that of another not when it begins late', 4, 1, viewAt(2_500, 25, { but: 4, startedAt: START + 2_000 }), false],
    ['it once it has had time to learn what others hold', 4, 1, viewAt(2_600, 27, { but: 4, startedAt: START + 2_000 }), true],
    ['its own chunk after a failure of the origin', 8, 0, viewAt(5_000, 4, { failedAt: START + 4_900 }), true],
    ['that of another not, so soon after a failure', 8, 1, viewAt(5_000, 4, { failedAt: START + 4_900 }), false],
    ['it not while the others may still be read', 8, 1, viewAt(9_099, 4, { failedAt: START + 4_900 }), false],
    ['it when the origin has had time for all of them', 8, 1, viewAt(9_100, 4, { failedAt: START + 4_900 }), true]
  ]
  for (const [name, index, turn, view, expected] of cases) {
    it(`${expected ? 'reads' : 'does not read'} ${name}`, () => assert.equal(schedule.mayRead(index, turn, view), expected))
  }
})
