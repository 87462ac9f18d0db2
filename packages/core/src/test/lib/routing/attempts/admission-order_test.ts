/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { AdmissionOrder } from '../../../../lib/routing/attempts/admission-order.js'

/** An order after 200 requests at 10 a second, of which the given part found no room. */
function orderAfter (short: number, urgencies: number[], organisationOf: (index: number) => string | undefined = () => undefined): AdmissionOrder {
  const order = new AdmissionOrder()
  order.setUrgencies(urgencies)
  for (let index = 0; index < 200; index += 1) order.observe(organisationOf(index), (index * 37 % 100) >= 100 * short, index * 100)
  return order
}

describe('AdmissionOrder.boundFactor', () => {
  const half = (index: number): string => index % 2 === 0 ? 'large' : `small-${index % 23}`
  const even = (index: number): string => `o${index % 24}`
  const cases: [name: string, order: AdmissionOrder, urgency: number, organisation: string | undefined, least: number, most: number][] = [
    ['is unchanged for all while there is room', orderAfter(0, [0, 1, 2], half), 2, 'large', 1, 1],
    ['is unchanged for the most urgent under any shortage', orderAfter(0.9, [0, 1, 2]), 0, undefined, 1, 1],
    ['is unchanged under any shortage where requests do not differ', orderAfter(0.9, [1, 1], even), 1, 'o3', 1, 1],
    ['is lowered for the least urgent first', orderAfter(0.5, [0, 1, 2]), 2, undefined, 0, 0.5],
    ['is kept for those above the least urgent while these can give way', orderAfter(0.2, [0, 1, 2]), 1, undefined, 1, 1],
    ['is lowered for the organisation that sends half', orderAfter(0.5, [1], half), 1, 'large', 0, 0.5],
    ['is kept for the other organisations', orderAfter(0.3, [1], half), 1, 'small-3', 1, 1]
  ]
  for (const [name, order, urgency, organisation, least, most] of cases) {
    it(name, () => {
      const factor = order.boundFactor({ urgency, organisation }, 19_950)
      assert.ok(factor >= least && factor <= most, `${factor}`)
    })
  }

  it('is unchanged again a few seconds after a shortage', () => assert.equal(orderAfter(0.3, [0, 1, 2]).boundFactor({ urgency: 2, organisation: undefined }, 29_000), 1))
})
