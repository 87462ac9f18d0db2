/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { LoadOrders, MAX_VERIFICATION_AGE, type LoadTrust } from '../../../../lib/routing/weights/load-orders.js'
import type { OrderResult } from '../../../../lib/routing/weights/version-switch.js'

/** One step of a replay, at a time in milliseconds. */
type Step =
  | { readonly at: number, readonly type: 'report', readonly sequence?: number, readonly version: number }
  | { readonly at: number, readonly type: 'order', readonly version: number, readonly verifiedAt: number, readonly result: OrderResult, readonly answeredAt: number }
  | { readonly at: number, readonly type: 'change' }
  | { readonly at: number, readonly type: 'check', readonly whole: boolean }

interface ReplayCase {
  readonly name: string
  readonly steps: readonly Step[]
  readonly doubtedUntil?: number
  readonly trust: LoadTrust
  readonly holdsStaging: boolean
}

const start: Step = { at: 0, type: 'report', sequence: 0, version: 1 }
const order = (at: number, result: OrderResult, answeredAt = at + 10): Step => ({ at, type: 'order', version: 2, verifiedAt: at - 100, result, answeredAt })
const taken = (at: number): Step => ({ at, type: 'report', sequence: 1, version: 1 })
const LATE = MAX_VERIFICATION_AGE + 1

const cases: readonly ReplayCase[] = [
  { name: 'no order', steps: [start, { ...start, at: 100 }], trust: 'verified', holdsStaging: false },
  { name: 'an accepted order', steps: [start, order(200, 'begun'), taken(300)], trust: 'verified', holdsStaging: false },
  { name: 'an accepted order that a report does not count yet', steps: [start, order(200, 'begun'), { ...start, at: 300 }, taken(400)], trust: 'verified', holdsStaging: false },
  { name: 'an unanswered order', steps: [start, order(200, 'unreachable', 2_200), { ...start, at: 2_300 }], trust: 'verified', holdsStaging: true },
  { name: 'an unanswered order that is never taken', steps: [start, order(200, 'unreachable', 2_200), { ...start, at: 12_300 }], trust: 'verified', holdsStaging: false },
  { name: 'a load that is to be checked, after the staging memory changed', steps: [start, order(200, 'unreachable', 2_200), taken(6_000), { at: 6_100, type: 'change' }, taken(6_200)], trust: 'unverified', holdsStaging: false },
  { name: 'an unanswered order that is taken soon', steps: [start, order(200, 'unreachable'), taken(300)], trust: 'verified', holdsStaging: false },
  { name: 'an unanswered order that is taken late', steps: [start, order(200, 'unreachable', 2_200), taken(6_000)], trust: 'unchecked', holdsStaging: true },
  { name: 'an unanswered order that is taken late, with a whole version', steps: [start, order(200, 'unreachable', 2_200), taken(6_000), { at: 6_100, type: 'check', whole: true }], trust: 'verified', holdsStaging: false },
  { name: 'an unanswered order that is taken late, with a version that is not whole', steps: [start, order(200, 'unreachable', 2_200), taken(6_000), { at: 6_100, type: 'check', whole: false }], trust: 'unverified', holdsStaging: false },
  { name: 'an unanswered order after which the staging memory changed', steps: [start, order(200, 'unreachable'), { at: 500, type: 'change' }, taken(600)], trust: 'unverified', holdsStaging: false },
  { name: 'an unanswered order whose repetition is accepted', steps: [start, order(200, 'unreachable'), order(2_400, 'begun'), taken(2_500)], trust: 'verified', holdsStaging: false },
  { name: 'an unanswered order whose repetition is refused', steps: [start, order(200, 'unreachable'), order(400, 'refused')], trust: 'verified', holdsStaging: true },
  { name: 'a refused order', steps: [start, order(200, 'refused')], trust: 'verified', holdsStaging: false },
  { name: 'an order whose answer arrives late', steps: [start, order(200, 'begun', 200 + LATE)], trust: 'unchecked', holdsStaging: true },
  { name: 'an order during which the staging memory changed', steps: [start, { at: 150, type: 'change' }, order(200, 'begun')], trust: 'unverified', holdsStaging: false },
  { name: 'an order for a version that is loaded already', steps: [start, order(200, 'done'), { at: 300, type: 'report', sequence: 1, version: 2 }], trust: 'verified', holdsStaging: false },
  { name: 'an engine that does not count its orders', steps: [{ ...start, sequence: undefined }, order(200, 'unreachable'), { at: 300, type: 'report', version: 2 }], trust: 'verified', holdsStaging: false },
  { name: 'an order of an earlier agent, with the staging memory as it left it', steps: [start, taken(300), { at: 400, type: 'check', whole: true }], trust: 'verified', holdsStaging: false },
  { name: 'an order of an earlier agent, after this one wrote', steps: [start, { at: 200, type: 'change' }, taken(300)], trust: 'unverified', holdsStaging: false },
  { name: 'an accepted order while calls of an earlier agent may take effect', doubtedUntil: 1_000, steps: [start, order(200, 'begun')], trust: 'unchecked', holdsStaging: true },
  { name: 'an accepted order after calls of an earlier agent could take effect', doubtedUntil: 1_000, steps: [start, order(1_200, 'begun')], trust: 'verified', holdsStaging: false },
  { name: 'a verified load after one that is not', steps: [start, { at: 200, type: 'change' }, taken(300), order(500, 'begun'), { at: 600, type: 'report', sequence: 2, version: 2 }], trust: 'verified', holdsStaging: false },
  { name: 'an engine that starts again with an order under way', steps: [taken(0), order(200, 'unreachable'), { at: 900, type: 'report', sequence: 0, version: 0 }], trust: 'verified', holdsStaging: false }
]

describe('LoadOrders', () => {
  for (const { name, steps, doubtedUntil, trust, holdsStaging } of cases) {
    it(`judges ${name}`, () => {
      const orders = new LoadOrders(doubtedUntil)
      let changedAt = -Infinity
      for (const step of steps) changedAt = play(orders, step, changedAt)
      assert.deepEqual([orders.trust, orders.holdsStaging], [trust, holdsStaging])
    })
  }

  it('expects the number of orders that the engine reported last', () => {
    const orders = new LoadOrders()
    orders.reported({ sequence: 4, version: 1 }, -Infinity, 0)
    assert.equal(orders.expectedSequence, 4)
  })
})

/** Plays a step. Returns when the staging memory changed last. */
function play (orders: LoadOrders, step: Step, changedAt: number): number {
  if (step.type === 'change') return step.at
  if (step.type === 'report') orders.reported({ sequence: step.sequence, version: step.version }, changedAt, step.at)
  if (step.type === 'check') orders.checked(step.whole, changedAt)
  if (step.type === 'order') {
    orders.sent(step.version, step.verifiedAt, step.at)
    orders.answered(step.result, changedAt, step.answeredAt)
  }
  return changedAt
}
