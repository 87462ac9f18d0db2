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
const vouch = (keeper: string): Step => attempt => attempt.claimed(keeper, { type: 'vouched' })
const granted: Step[] = [ready, ...['a', 'b', 'c', 'd'].map(vouch)]
const seen: Step = attempt => attempt.claimed('a', { type: 'seen', attempt: 'other', bodyDigest: 'body' })

function lastOf (steps: readonly Step[]): string[] {
  const attempt = new OnceAttempt('entry-1.x:1', 'agent-9', keepers, 'body')
  let effects = attempt.begin()
  for (const step of steps) effects = step(attempt)
  return effects.map(effect => effect.type === 'give-up' ? `${effect.type} ${effect.failure.code} ${effect.failure.outcome}` : effect.type)
}

const released = Array.from({ length: 5 }, () => 'send-release')

describe('OnceAttempt', () => {
  const cases: [name: string, steps: Step[], effects: string[]][] = [
    ['begins with an offer', [], ['send-offer']],
    ['claims at every keeper once it has a ticket', [ready], Array.from({ length: 5 }, () => 'send-claim')],
    ['goes on four vouches', granted, ['send-go']],
    ['goes once, whatever comes after', [...granted, vouch('e')], []],
    ['tries elsewhere when the offer is refused', [attempt => attempt.offered({ type: 'refused', reason: 'busy' })], ['try-elsewhere']],
    ['tries elsewhere when the agent is away', [attempt => attempt.offered('unreachable')], ['try-elsewhere']],
    ['does not run what was seen before', [ready, seen], [...released, 'give-up already-claimed unknown']],
    ['is not run when keepers are silent', [ready, attempt => attempt.lost()], [...released, 'give-up no-endpoint not-run']],
    ['asks for the fate of a go that got lost', [...granted, attempt => attempt.lost()], ['send-cancel']],
    ['may be tried elsewhere once the ticket is known to be dead', [...granted, attempt => attempt.lost(), attempt => attempt.cancelled('never-started')], [...released, 'try-elsewhere']],
    ['is unknown when it had started', [...granted, attempt => attempt.lost(), attempt => attempt.cancelled('started')], ['give-up outcome-unknown unknown']],
    ['is unknown when the agent is away', [...granted, attempt => attempt.lost(), attempt => attempt.cancelled('unreachable')], ['give-up outcome-unknown unknown']],
    ['may be tried elsewhere when the ticket is refused', [...granted, attempt => attempt.refused('ticket-expired')], [...released, 'try-elsewhere']],
    ['has started when the agent says so', [...granted, attempt => attempt.started()], ['started']],
    ['is not run when the endpoint was never reached', [...granted, attempt => attempt.started(), attempt => attempt.neverReached()], [...released, 'give-up engine-failed not-run']]
  ]
  for (const [name, steps, effects] of cases) it(name, () => assert.deepEqual(lastOf(steps), effects))

  it('is committed from the go on', () => {
    const attempt = new OnceAttempt('entry-1.x:1', 'agent-9', keepers, 'body')
    attempt.begin()
    for (const step of granted.slice(0, -1)) step(attempt)
    assert.equal(attempt.committed, false)
    vouch('d')(attempt)
    assert.equal(attempt.committed, true)
  })
})
