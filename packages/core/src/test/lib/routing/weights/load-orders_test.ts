/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { LoadOrders, type LoadTrust, type ReadBack } from '../../../../lib/routing/weights/load-orders.js'
import type { OrderResult } from '../../../../lib/routing/weights/version-switch.js'

/** One step of a replay, at a time in milliseconds. */
type Step =
  | { readonly at: number, readonly type: 'report', readonly sequence?: number, readonly version: number, readonly busy?: boolean }
  | { readonly at: number, readonly type: 'order', readonly version: number, readonly verifiedAt: number, readonly result: OrderResult, readonly answeredAt: number }
  | { readonly at: number, readonly type: 'change' }
  | { readonly at: number, readonly type: 'check', readonly readBack: ReadBack, readonly version: number }

interface ReplayCase {
  readonly name: string
  readonly steps: readonly Step[]
  readonly startedAt?: number
  readonly trust: LoadTrust
  readonly holdsStaging: boolean
}

const start: Step = { at: 0, type: 'report', sequence: 0, version: 1 }
const order = (at: number, result: OrderResult, answeredAt = at + 10): Step => ({ at, type: 'order', version: 2, verifiedAt: at - 100, result, answeredAt })
/** The engine has counted an order, and still serves the version before. */
const taken = (at: number): Step => ({ at, type: 'report', sequence: 1, version: 1 })
const loaded = (at: number, version = 2): Step => ({ at, type: 'report', sequence: 1, version })
const check = (at: number, readBack: ReadBack, version = 2): Step => ({ at, type: 'check', readBack, version })
const change = (at: number): Step => ({ at, type: 'change' })
const LATE = 3_000

const cases: readonly ReplayCase[] = [
  { name: 'no order', steps: [start, { ...start, at: 100 }], trust: 'verified', holdsStaging: false },
  { name: 'an accepted order until the version is loaded', steps: [start, order(200, 'begun'), taken(300)], trust: 'verified', holdsStaging: true },
  { name: 'an accepted order that is loaded before it is checked', steps: [start, order(200, 'begun'), loaded(300)], trust: 'unchecked', holdsStaging: true },
  { name: 'an accepted order', steps: [start, order(200, 'begun'), check(250, 'whole'), loaded(300)], trust: 'verified', holdsStaging: false },
  { name: 'an accepted order of an engine that serves no version while it loads', steps: [start, order(200, 'begun'), check(250, 'whole'), loaded(300, 0), loaded(400)], trust: 'verified', holdsStaging: false },
  { name: 'an accepted order that a report does not count yet', steps: [start, order(200, 'begun'), check(250, 'whole'), { ...start, at: 300 }, loaded(400)], trust: 'verified', holdsStaging: false },
  { name: 'an accepted order after which chunks are found corrupt', steps: [start, order(200, 'begun'), check(250, 'corrupt'), loaded(300)], trust: 'verified', holdsStaging: false },
  { name: 'an accepted order after which chunks of another version are found', steps: [start, order(200, 'begun'), check(250, 'replaced'), loaded(300)], trust: 'unverified', holdsStaging: false },
  { name: 'an unanswered order', steps: [start, order(200, 'unreachable', 2_200), { ...start, at: 2_300 }], trust: 'verified', holdsStaging: true },
  { name: 'an unanswered order that is never taken', steps: [start, order(200, 'unreachable', 2_200), { ...start, at: 12_300 }], trust: 'verified', holdsStaging: false },
  { name: 'an unanswered order that is taken soon', steps: [start, order(200, 'unreachable'), taken(300), check(400, 'corrupt'), loaded(500)], trust: 'verified', holdsStaging: false },
  { name: 'an unanswered order that is taken late, with a whole version', steps: [start, order(200, 'unreachable', 2_200), taken(6_000), check(6_100, 'whole'), loaded(6_300)], trust: 'verified', holdsStaging: false },
  { name: 'an unanswered order that is taken late, with a corrupt chunk', steps: [start, order(200, 'unreachable', 2_200), taken(6_000), check(6_100, 'corrupt'), loaded(6_300)], trust: 'unverified', holdsStaging: false },
  { name: 'an unanswered order between whose repetitions the staging memory was repaired', steps: [start, order(200, 'unreachable'), change(500), { ...start, at: 600 }, order(800, 'unreachable'), taken(900), check(950, 'whole'), loaded(1_000)], trust: 'verified', holdsStaging: false },
  { name: 'an unanswered order during which the staging memory changed', steps: [start, order(200, 'unreachable'), change(500), taken(600), loaded(700)], trust: 'unverified', holdsStaging: false },
  { name: 'an unanswered order whose repetition is accepted', steps: [start, order(200, 'unreachable'), order(2_400, 'begun'), check(2_450, 'whole'), loaded(2_500)], trust: 'verified', holdsStaging: false },
  { name: 'an unanswered order whose repetition is refused', steps: [start, order(200, 'unreachable'), order(400, 'refused')], trust: 'verified', holdsStaging: true },
  { name: 'a refused order', steps: [start, order(200, 'refused')], trust: 'verified', holdsStaging: false },
  { name: 'an order whose answer arrives late, with a corrupt chunk', steps: [start, order(200, 'begun', 200 + LATE), check(3_300, 'corrupt'), loaded(3_400)], trust: 'unverified', holdsStaging: false },
  { name: 'an order during which the staging memory changed', steps: [start, change(150), order(200, 'begun'), loaded(300)], trust: 'unverified', holdsStaging: false },
  { name: 'an order for a version that is loaded already', steps: [start, order(200, 'done'), loaded(300), check(350, 'whole')], trust: 'verified', holdsStaging: false },
  { name: 'an engine that does not count its orders', steps: [{ ...start, sequence: undefined }, order(200, 'unreachable'), { at: 300, type: 'report', version: 2 }, check(400, 'whole')], trust: 'verified', holdsStaging: false },
  { name: 'an order of an earlier agent, with the version that is staged', steps: [start, taken(300), check(400, 'whole'), loaded(500)], trust: 'verified', holdsStaging: false },
  { name: 'an order of an earlier agent, with another version than the staged one', steps: [start, taken(300), check(400, 'whole', 3), loaded(500)], trust: 'unverified', holdsStaging: false },
  { name: 'an order of an earlier agent that is under way when this one starts', steps: [{ at: 0, type: 'report', sequence: 1, version: 1, busy: true }, loaded(100)], trust: 'unchecked', holdsStaging: true },
  { name: 'an accepted order after which unknown chunks are found, shortly after the start', startedAt: 0, steps: [start, order(200, 'begun'), check(250, 'corrupt'), loaded(300)], trust: 'unverified', holdsStaging: false },
  { name: 'an order of an earlier agent, while this one wrote', steps: [start, change(200), taken(300), loaded(400)], trust: 'unverified', holdsStaging: false },
  { name: 'a load that is never checked', steps: [start, taken(300), loaded(400), loaded(10_400)], trust: 'unverified', holdsStaging: false },
  { name: 'an order of another kind', steps: [start, change(200), taken(300), taken(400)], trust: 'verified', holdsStaging: false },
  { name: 'a checked load after one that is not whole', steps: [start, change(200), taken(300), loaded(400, 3), order(500, 'begun'), check(550, 'whole'), { at: 600, type: 'report', sequence: 2, version: 2 }], trust: 'verified', holdsStaging: false },
  { name: 'an engine that starts again with an order under way', steps: [taken(0), order(200, 'unreachable'), { at: 900, type: 'report', sequence: 0, version: 0 }], trust: 'verified', holdsStaging: false }
]

describe('LoadOrders', () => {
  for (const { name, steps, startedAt, trust, holdsStaging } of cases) {
    it(`judges ${name}`, () => {
      const orders = new LoadOrders(startedAt)
      let changedAt = -Infinity
      for (const step of steps) changedAt = play(orders, step, changedAt)
      assert.deepEqual([orders.trust, orders.holdsStaging], [trust, holdsStaging])
    })
  }

  it('expects the number of orders that the engine reported last', () => {
    const orders = new LoadOrders()
    orders.reported({ sequence: 4, version: 1 }, { askedAt: 0, stagingChangedAt: -Infinity, now: 0 })
    assert.equal(orders.expectedSequence, 4)
  })
})

/** Plays a step. Returns when the staging memory changed last. */
function play (orders: LoadOrders, step: Step, changedAt: number): number {
  if (step.type === 'change') return step.at
  if (step.type === 'report') orders.reported({ sequence: step.sequence, version: step.version, busy: step.busy }, { askedAt: step.at, stagingChangedAt: changedAt, now: step.at })
  if (step.type === 'check') orders.checked(step.readBack, step.version, changedAt)
  if (step.type === 'order') {
    orders.sent(step.version, step.verifiedAt, step.at)
    orders.answered(step.result, changedAt, step.answeredAt)
  }
  return changedAt
}
