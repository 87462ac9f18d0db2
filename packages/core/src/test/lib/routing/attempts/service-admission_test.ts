/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ServiceAdmission, type AdmissionRequest } from '../../../../lib/routing/attempts/service-admission.js'
import type { ChosenEndpoint, EndpointRequirements } from '../../../../lib/routing/choice/endpoint-choice.js'
import type { PoolDescription, ServiceDescription } from '../../../../lib/routing/published/routing-configuration.js'

const need: EndpointRequirements = { promptTokens: 500, answerTokens: 0, model: 'm', leastVersion: 0, mustBeginBy: () => undefined, usualObjective: 400, tried: new Set() }
const plain: ServiceDescription = { name: 'plain', maxConnections: 100 }
const pooled: ServiceDescription = { ...plain, name: 'pooled', pool: {} as PoolDescription }

function choiceOf (expected: number): ChosenEndpoint { return { expected, expectedOfUsual: expected } as ChosenEndpoint }

/** An admission whose chooser expects the given times, in milliseconds, for a request in time and for a late one. */
function admissionExpecting (inTime: number | undefined, late: number | undefined, urgencies: number[] = []): ServiceAdmission {
  const admission = new ServiceAdmission({
    choose: (_service, { late: terms }) => {
      const expected = terms === undefined ? inTime : late
      return expected === undefined ? undefined : choiceOf(expected)
    }
  })
  admission.order.setUrgencies(urgencies)
  return admission
}

const request: AdmissionRequest = { service: pooled, need, objective: 400, timeLeft: 5_900, sinceFirstTry: 0, urgency: 1, organisation: undefined }

describe('ServiceAdmission.decide', () => {
  const cases: [name: string, inTime: number | undefined, late: number | undefined, part: Partial<AdmissionRequest>, type: string][] = [
    ['admits a request in time', 300, 900, {}, 'in-time'],
    ['admits a request late that would otherwise be refused', 500, 900, {}, 'late'],
    ['refuses a request for which no engine has a turn', 500, undefined, {}, 'overloaded'],
    ['has no endpoint for a request that none may take', undefined, undefined, {}, 'no-endpoint'],
    ['sends a plain request that is expected within its deadline', 500, undefined, { service: plain, timeLeft: 800 }, 'late'],
    ['refuses a plain request that is expected near its deadline', 700, undefined, { service: plain, timeLeft: 800 }, 'overloaded']
  ]
  for (const [name, inTime, late, part, type] of cases) it(name, () => assert.equal(admissionExpecting(inTime, late).decide({ ...request, ...part }, 0).type, type))

  it('sends nothing but in-time requests without urgency where the requests of a service do not differ', () => {
    const admission = admissionExpecting(300, 900, [1, 1])
    assert.equal(admission.urgencyFor(1, false), undefined)
    assert.equal(admission.urgencyFor(1, true), 9)
  })

  it('lets an engine take late requests after all in time, the more urgent first', () => {
    const admission = admissionExpecting(300, 900, [0, 2, 1])
    assert.deepEqual([0, 1, 2].map(urgency => admission.urgencyFor(urgency, false)), [0, 1, 2])
    assert.deepEqual([0, 1, 2].map(urgency => admission.urgencyFor(urgency, true)), [7, 8, 9])
  })

  /*
   * Without the measured waits, an entry goes on sending late requests to queues that never become empty, and all of them end at their
   * deadline.
   */
  it('expects longer waits for late requests once others have waited in vain', () => {
    const admission = admissionExpecting(500, 900)
    const place = admission.order.place(1, true)
    const before = admission.need(request, true, 0).slowness
    for (let index = 0; index < 5; index += 1) admission.sent(`r${index}`, place, 900, 0)
    assert.equal(before, 1)
    assert.ok((admission.need(request, true, 2_700).slowness ?? 0) >= 2.9)
  })
})
