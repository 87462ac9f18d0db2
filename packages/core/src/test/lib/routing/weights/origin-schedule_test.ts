/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { OriginSchedule, type OriginView } from '../../../../lib/routing/weights/origin-schedule.js'

/** The origin serves a copy of 40 chunks in 4 s, so each chunk takes 100 ms. */
const CHUNKS = 40
const schedule = new OriginSchedule(CHUNKS, { originCopyTime: 4_000, takeoverDelay: 600, originStagger: 250 })

const START = 10_000
const all = Array.from({ length: CHUNKS }, (_, index) => index)

/** Returns the view `elapsed` milliseconds after the start, with the first `held` chunks held, except `missing`. */
function viewAt (elapsed: number, held: number, { failedAt = -Infinity, missing = -1, startedAt = START } = {}): OriginView {
  return { now: START + elapsed, publishedAt: START, startedAt, failedAt, unheld: all.filter(index => index >= held || index === missing) }
}

describe('OriginSchedule', () => {
  const cases: [name: string, index: number, rank: number, view: OriginView, expected: boolean][] = [
    ['one of the first assigned chunks immediately', 23, 0, viewAt(0, 0), true],
    ['a later assigned chunk before earlier ones have left the origin', 24, 0, viewAt(0, 0), false],
    ['a later assigned chunk once an earlier one has left the origin', 24, 0, viewAt(0, 1), true],
    ['a later assigned chunk at its scheduled time, even if no other has left the origin', 24, 0, viewAt(2_400, 0), true],
    ['another member\'s chunk when it is due', 4, 1, viewAt(400, 4), false],
    ['another member\'s chunk once it is overdue', 4, 1, viewAt(1_000, 11, { missing: 4 }), true],
    ['another member\'s chunk just before it is overdue', 4, 1, viewAt(999, 11, { missing: 4 }), false],
    ['an assigned chunk that some member holds', 4, 0, viewAt(400, 5), false],
    ['another member\'s chunk that some member holds, however late', 4, 1, viewAt(4_000, 5), false],
    ['an overdue chunk at rank 2 before the stagger has passed', 4, 2, viewAt(1_249, 14, { missing: 4 }), false],
    ['an overdue chunk at rank 2 after the stagger', 4, 2, viewAt(1_250, 14, { missing: 4 }), true],
    ['an overdue chunk if the origin is behind the schedule', 4, 1, viewAt(1_000, 6, { missing: 4 }), false],
    ['an overdue chunk after an added delay equal to the origin\'s lag', 4, 1, viewAt(1_500, 11, { missing: 4 }), true],
    ['an assigned chunk immediately if it starts late', 8, 0, viewAt(2_000, 0, { startedAt: START + 2_000 }), true],
    ['another member\'s overdue chunk soon after a late start', 4, 1, viewAt(2_500, 25, { missing: 4, startedAt: START + 2_000 }), false],
    ['another member\'s overdue chunk once it had time to learn which chunks others hold', 4, 1, viewAt(2_600, 27, { missing: 4, startedAt: START + 2_000 }), true],
    ['an assigned chunk after a failure of the origin', 8, 0, viewAt(5_000, 4, { failedAt: START + 4_900 }), true],
    ['another member\'s chunk soon after a failure of the origin', 8, 1, viewAt(5_000, 4, { failedAt: START + 4_900 }), false],
    ['another member\'s chunk before the origin had time to serve all missing chunks after a failure', 8, 1, viewAt(9_099, 4, { failedAt: START + 4_900 }), false],
    ['another member\'s chunk once the origin had time to serve all missing chunks after a failure', 8, 1, viewAt(9_100, 4, { failedAt: START + 4_900 }), true]
  ]
  for (const [name, index, rank, view, expected] of cases) {
    it(`${expected ? 'reads' : 'does not read'} ${name}`, () => assert.equal(schedule.mayRead(index, rank, view), expected))
  }
})
