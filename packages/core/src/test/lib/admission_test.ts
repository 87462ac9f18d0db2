/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { AdmissionController, TICKET_LIFETIME_MILLISECONDS } from '../../lib/admission.js'

function openAdmission (slots = 2): AdmissionController {
  const admission = new AdmissionController('agent-1.aa', slots)
  admission.setServing(true)
  return admission
}

function ticketOf (admission: AdmissionController, now = 0): string {
  const reply = admission.offer(now)
  return reply.type === 'ready' ? reply.ticket : assert.fail(reply.reason)
}

describe('AdmissionController', () => {
  const states: [name: string, close: (admission: AdmissionController) => void, reason: string][] = [
    ['no version is served', admission => admission.setServing(false), 'not-serving'],
    ['the engine is switching', admission => admission.setSwitching(true), 'switching'],
    ['draining', admission => { admission.leave('draining') }, 'leaving'],
    ['stopped', admission => { admission.leave('stopped') }, 'leaving'],
    ['all slots are in use', admission => { admission.run(0); admission.run(0) }, 'busy']
  ]
  for (const [name, close, reason] of states) {
    it(`refuses new requests and issued tickets when ${name}`, () => {
      const admission = openAdmission()
      const ticket = ticketOf(admission)
      close(admission)
      assert.deepEqual(admission.run(0), { type: 'refused', reason })
      assert.deepEqual(admission.offer(1), { type: 'refused', reason })
      assert.deepEqual(admission.go(ticket, 1), { type: 'refused', reason })
    })
  }

  it('admits a ticket once', () => {
    const admission = openAdmission()
    const ticket = ticketOf(admission)
    assert.equal(admission.go(ticket, 10).type, 'admitted')
    assert.deepEqual(admission.go(ticket, 11), { type: 'refused', reason: 'ticket-unknown' })
  })

  it('refuses an expired ticket permanently', () => {
    const admission = openAdmission()
    const ticket = ticketOf(admission)
    assert.deepEqual(admission.go(ticket, TICKET_LIFETIME_MILLISECONDS), { type: 'refused', reason: 'ticket-expired' })
    assert.deepEqual(admission.go(ticket, 1), { type: 'refused', reason: 'ticket-unknown' })
  })

  it('refuses a ticket of another incarnation', () => {
    assert.deepEqual(openAdmission().go('agent-1.bb:1', 0), { type: 'refused', reason: 'ticket-unknown' })
  })

  it('returns the state of a cancelled ticket and invalidates an unused one', () => {
    const admission = openAdmission()
    const unused = ticketOf(admission)
    const used = ticketOf(admission)
    admission.go(used, 1)
    assert.equal(admission.cancel(unused), 'never-started')
    assert.equal(admission.cancel(used), 'started')
    assert.equal(admission.cancel('agent-1.bb:9'), 'unknown')
    assert.deepEqual(admission.go(unused, 2), { type: 'refused', reason: 'ticket-unknown' })
  })

  it('frees a slot when a run ends', () => {
    const admission = openAdmission(1)
    const first = admission.run(0)
    assert.equal(admission.run(0).type, 'refused')
    admission.finished(first.type === 'admitted' ? first.run : 0)
    assert.equal(admission.run(0).type, 'admitted')
  })

  it('moves the lifecycle only forward', () => {
    const admission = openAdmission()
    assert.deepEqual(['draining', 'serving', 'stopped', 'draining'].map(lifecycle => admission.leave(lifecycle as 'serving')), [true, false, true, false])
    assert.equal(admission.lifecycle, 'stopped')
  })
})
