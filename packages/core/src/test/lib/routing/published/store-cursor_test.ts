/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { StoreCursor, type AnswerVerdict, type StoreAnswerKind, type StoreCall } from '../../../../lib/routing/published/store-cursor.js'

/** Returns a cursor in epoch 2 that has followed the configuration up to the given revision and other topics up to revision 30. */
function cursorAt (followed: number): StoreCursor {
  return new StoreCursor({ epoch: 2, note: { epoch: 2, configuration: followed, versions: 30, endpoints: 30, evacuations: 30 } }, ['configuration', 'endpoints'])
}

describe('StoreCursor', () => {
  const cases: [name: string, call: StoreCall, answer: StoreAnswerKind, verdict: AnswerVerdict, next: StoreCall][] = [
    ['a watch continues', 'watch', { type: 'changes', epoch: 2 }, 'take', 'watch'],
    ['a watch of a store that reports no epoch continues', 'watch', { type: 'changes' }, 'take', 'watch'],
    ['a watch answered in a later epoch requires a full read', 'watch', { type: 'changes', epoch: 3 }, 'read-whole', 'read'],
    ['a watch answered in an earlier epoch is ignored', 'watch', { type: 'changes', epoch: 1 }, 'failed', 'watch'],
    ['a read in a later epoch is applied', 'read', { type: 'changes', epoch: 3 }, 'take', 'watch'],
    ['a read in an earlier epoch is ignored', 'read', { type: 'changes', epoch: 1 }, 'failed', 'watch'],
    ['lost history requires a full read', 'watch', { type: 'history-lost', epoch: 2 }, 'read-whole', 'read'],
    ['lost history in an earlier epoch is ignored', 'watch', { type: 'history-lost', epoch: 1 }, 'failed', 'watch'],
    ['a failure does not change the next call', 'watch', { type: 'store-failure', epoch: 2 }, 'failed', 'watch'],
    ['a failure in a later epoch requires a full read', 'watch', { type: 'store-failure', epoch: 3 }, 'failed', 'read']
  ]
  for (const [name, call, answer, verdict, next] of cases) {
    it(name, () => {
      const cursor = cursorAt(30)
      assert.deepEqual([cursor.judge(call, answer), cursor.next], [verdict, next])
    })
  }

  const afterLoss: [name: string, act: (cursor: StoreCursor) => unknown, next: StoreCall][] = [
    ['a failed read is retried', cursor => cursor.judge('read', { type: 'store-failure' }), 'read'],
    ['watches resume after a successful read', cursor => cursor.judge('read', { type: 'changes', epoch: 2 }), 'watch'],
    ['watches resume once peers have supplied the changes', cursor => cursor.markCaughtUp(), 'watch']
  ]
  for (const [name, act, next] of afterLoss) {
    it(`after lost history, ${name}`, () => {
      const cursor = cursorAt(30)
      cursor.judge('watch', { type: 'history-lost' })
      act(cursor)
      assert.equal(cursor.next, next)
    })
  }

  it('makes full reads until each topic has been followed', () => assert.deepEqual([cursorAt(0).next, cursorAt(7).followed], ['read', 7]))
})
