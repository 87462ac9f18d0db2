/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { OnceAttempt, type OnceEffect } from '../../lib/once-attempt.js'

const keepers = { instances: ['a', 'b', 'c', 'd', 'e'], needed: 4 }
type Step = (attempt: OnceAttempt) => OnceEffect[]

const ready: Step = attempt => attempt.offered({ type: 'ready', ticket: 't' })
const confirm = (keeper: string): Step => attempt => attempt.claimed(keeper, { type: 'vouched' })
const granted: Step[] = [ready, ...['a', 'b', 'c', 'd'].map(confirm)]
const seen: Step = attempt => attempt.claimed('a', { type: 'seen', attempt: 'other', bodyDigest: 'body' })

function lastEffects (steps: readonly Step[]): string[] {
  const attempt = new OnceAttempt('entry-1.x:1', 'agent-9', keepers, 'body')
  let effects = attempt.begin()
  for (const step of steps) effects = step(attempt)
  return effects.map(effect => effect.type === 'give-up' ? `${effect.type} ${effect.failure.code} ${effect.failure.outcome}` : effect.type)
}

const releases = Array.from({ length: 5 }, () => 'send-release')

describe('OnceAttempt', () => {
  const cases: [name: string, steps: Step[], effects: string[]][] = [
    ['starts with an offer', [], ['send-offer']],
    ['sends a claim to every keeper once it has a ticket', [ready], Array.from({ length: 5 }, () => 'send-claim')],
    ['sends go after four confirmations', granted, ['send-go']],
    ['sends go only once', [...granted, confirm('e')], []],
    ['retries on another endpoint when the offer is refused', [attempt => attempt.offered({ type: 'refused', reason: 'busy' })], ['try-elsewhere']],
    ['retries on another endpoint when the agent is unreachable', [attempt => attempt.offered('unreachable')], ['try-elsewhere']],
    ['does not run an id that was claimed before', [ready, seen], [...releases, 'give-up already-claimed unknown']],
    ['fails as not run when keepers do not reply', [ready, attempt => attempt.lost()], [...releases, 'give-up no-endpoint not-run']],
    ['cancels the ticket when the reply to go is lost', [...granted, attempt => attempt.lost()], ['send-cancel']],
    ['retries on another endpoint once the ticket is invalidated', [...granted, attempt => attempt.lost(), attempt => attempt.cancelled('never-started')], [...releases, 'try-elsewhere']],
    ['fails as unknown when the request had started', [...granted, attempt => attempt.lost(), attempt => attempt.cancelled('started')], ['give-up outcome-unknown unknown']],
    ['fails as unknown when the cancel cannot be delivered', [...granted, attempt => attempt.lost(), attempt => attempt.cancelled('unreachable')], ['give-up outcome-unknown unknown']],
    ['retries on another endpoint when the ticket is refused', [...granted, attempt => attempt.refused('ticket-expired')], [...releases, 'try-elsewhere']],
    ['has started when the agent reports the start', [...granted, attempt => attempt.started()], ['started']],
    ['fails as not run when the endpoint was never reached', [...granted, attempt => attempt.started(), attempt => attempt.neverReached()], [...releases, 'give-up engine-failed not-run']]
  ]
  for (const [name, steps, effects] of cases) it(name, () => assert.deepEqual(lastEffects(steps), effects))

  it('is committed once go has been sent', () => {
    const attempt = new OnceAttempt('entry-1.x:1', 'agent-9', keepers, 'body')
    attempt.begin()
    for (const step of granted.slice(0, -1)) step(attempt)
    assert.equal(attempt.committed, false)
    confirm('d')(attempt)
    assert.equal(attempt.committed, true)
  })
})
