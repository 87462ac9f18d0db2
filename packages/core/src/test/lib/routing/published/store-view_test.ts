/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { StoreView, type AnsweredCall } from '../../../../lib/routing/published/store-view.js'

/** A watch of a second that was sent and answered at these times. */
function watch (sentAt: number, answeredAt: number, empty = false): AnsweredCall { return { sentAt, answeredAt, wait: 1_000, empty } }

describe('StoreView', () => {
  const cases: [name: string, before: AnsweredCall[], last: AnsweredCall, since: number][] = [
    ['the sending of the call before, if the changes may have been there when the watch arrived', [watch(0, 5)], watch(255, 260), 0],
    ['the end of the wait before, if the store held that watch for the whole wait', [watch(0, 1_010, true)], watch(1_010, 1_020), 999],
    ['the answer less the possible latency, if the store held the watch', [watch(0, 1_010, true)], watch(1_010, 1_800), 1_730],
    ['the answer less a latency that was measured on a full link', [watch(0, 1_300, true)], watch(1_300, 2_290), 1_640],
    ['the end of the wait before, if the answer may have queued for as long as it took', [watch(0, 1_300, true)], watch(1_300, 1_900), 999],
    ['the sending of the call before, if the latency was measured too long ago', [watch(0, 1_010, true), watch(6_900, 7_000)], watch(7_000, 7_900), 6_900],
    ['the sending of the call before, if an empty answer came before the wait was over', [watch(0, 400, true)], watch(400, 900), 0]
  ]
  for (const [name, before, last, since] of cases) {
    it(`dates changes from ${name}`, () => {
      const view = new StoreView()
      for (const call of before) view.watchAnswered(call)
      assert.equal(view.watchAnswered(last), since)
    })
  }

  it('knows no time before the first answer, and dates the changes of a later reading from the last view', () => {
    const view = new StoreView()
    const first = view.readAnswered(100)
    view.watchAnswered(watch(120, 130))
    assert.deepEqual([first, view.readAnswered(2_000), view.completeUntil], [-Infinity, 120, 2_000])
  })
})
