/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { AdmissionDoor, TICKET_LIFETIME } from '../../lib/admission.js'

function openDoor (slots = 2): AdmissionDoor {
  const door = new AdmissionDoor('agent-1.aa', slots)
  door.setServing(true)
  return door
}

function ticketOf (door: AdmissionDoor, now = 0): string {
  const reply = door.offer(now)
  return reply.type === 'ready' ? reply.ticket : assert.fail(reply.reason)
}

describe('AdmissionDoor', () => {
  const closed: [name: string, close: (door: AdmissionDoor) => void, reason: string][] = [
    ['no version is served', door => door.setServing(false), 'not-serving'],
    ['the engine is switching', door => door.setSwitching(true), 'switching'],
    ['draining', door => { door.leave('draining') }, 'leaving'],
    ['stopped', door => { door.leave('stopped') }, 'leaving'],
    ['all slots are in use', door => { door.run(0); door.run(0) }, 'busy']
  ]
  for (const [name, close, reason] of closed) {
    it(`refuses new requests and issued tickets when ${name}`, () => {
      const door = openDoor()
      const ticket = ticketOf(door)
      close(door)
      assert.deepEqual(door.run(0), { type: 'refused', reason })
      assert.deepEqual(door.offer(1), { type: 'refused', reason })
      assert.deepEqual(door.go(ticket, 1), { type: 'refused', reason })
    })
  }

  it('admits a ticket once', () => {
    const door = openDoor()
    const ticket = ticketOf(door)
    assert.equal(door.go(ticket, 10).type, 'admitted')
    assert.deepEqual(door.go(ticket, 11), { type: 'refused', reason: 'ticket-unknown' })
  })

  it('refuses an expired ticket permanently', () => {
    const door = openDoor()
    const ticket = ticketOf(door)
    assert.deepEqual(door.go(ticket, TICKET_LIFETIME), { type: 'refused', reason: 'ticket-expired' })
    assert.deepEqual(door.go(ticket, 1), { type: 'refused', reason: 'ticket-unknown' })
  })

  it('refuses a ticket of another incarnation', () => {
    assert.deepEqual(openDoor().go('agent-1.bb:1', 0), { type: 'refused', reason: 'ticket-unknown' })
  })

  it('returns the state of a cancelled ticket and invalidates an unused one', () => {
    const door = openDoor()
    const unused = ticketOf(door)
    const used = ticketOf(door)
    door.go(used, 1)
    assert.equal(door.cancel(unused), 'never-started')
    assert.equal(door.cancel(used), 'started')
    assert.equal(door.cancel('agent-1.bb:9'), 'unknown')
    assert.deepEqual(door.go(unused, 2), { type: 'refused', reason: 'ticket-unknown' })
  })

  it('frees a slot when a run ends', () => {
    const door = openDoor(1)
    const admission = door.run(0)
    assert.equal(door.run(0).type, 'refused')
    door.finished(admission.type === 'admitted' ? admission.run : 0)
    assert.equal(door.run(0).type, 'admitted')
  })

  it('moves the lifecycle only forward', () => {
    const door = openDoor()
    assert.deepEqual(['draining', 'serving', 'stopped', 'draining'].map(lifecycle => door.leave(lifecycle as 'serving')), [true, false, true, false])
    assert.equal(door.lifecycle, 'stopped')
  })
})
