/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
// Guards against different requests that share one part of their prompts and crash every engine that begins to answer them.
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { RequestTrait, SuspectSubject } from '../../../../lib/routing/attempts/request-traits.js'
import { SuspectRequests, type SuspectStatus } from '../../../../lib/routing/attempts/suspect-requests.js'
import { SuspectVerdicts } from '../../../../lib/routing/attempts/suspect-verdicts.js'

const MINUTE = 60_000
const SECOND = 1_000
const fingerprints = { fatal: '00000000000000fa', common: '00000000000000c0', rare: '00000000000000aa' }
type Part = keyof typeof fingerprints

let requestCount = 0
/** A request that differs from all others, with some parts. */
function request (...parts: Part[]): SuspectSubject {
  requestCount += 1
  return { scope: 'm', traits: [{ kind: 'request', fingerprint: requestCount.toString(16).padStart(16, '0') }, ...parts.map(part => traitOf(part))] }
}
function traitOf (part: Part): RequestTrait { return { kind: 'prompt-part', fingerprint: fingerprints[part] } }

type Step =
  | readonly ['lost', at: number, start: string, subject: SuspectSubject, answeredFor?: number]
  | readonly ['reset', at: number, starts: string, subject: SuspectSubject]
  | readonly ['told', at: number, start: string, part: Part]
  | readonly ['told-answered', at: number, part: Part, age: number]
  | readonly ['survived', at: number, subject: SuspectSubject]
  | readonly ['answered', at: number, subject: SuspectSubject]
  | readonly ['look', at: number, subject: SuspectSubject]

interface Judge {
  readonly evidence: SuspectRequests
  readonly verdicts: SuspectVerdicts
}

const run: { readonly [Name in Step[0]]: (judge: Judge, step: Extract<Step, readonly [Name, ...unknown[]]>) => void } = {
  lost: ({ verdicts, evidence }, [, at, start, subject, answeredFor = 0]) => {
    verdicts.lost(subject, start, answeredFor, at)
    evidence.confirm(start)
  },
  reset: ({ verdicts }, [, at, starts, subject]) => { for (const start of starts) verdicts.lost(subject, start, 0, at) },
  told: ({ evidence }, [, at, start, part]) => { evidence.heard({ losses: [{ ...traitOf(part), start, age: 0 }], answers: [] }, at) },
  'told-answered': ({ evidence }, [, at, part, age]) => { evidence.heard({ losses: [], answers: [{ fingerprint: fingerprints[part], age }] }, at) },
  survived: ({ verdicts }, [, at, subject]) => { verdicts.survived(subject, at) },
  answered: ({ verdicts }, [, at, subject]) => { verdicts.answered(subject, at) },
  look: ({ verdicts }, [, at, subject]) => { verdicts.standing(subject, at) }
}

function after (steps: readonly Step[], random = 0.99): Judge {
  const evidence = new SuspectRequests()
  const verdicts = new SuspectVerdicts({ evidence, random: () => random, entries: () => 6 }, 0)
  const judge = { evidence, verdicts }
  for (const step of steps) run[step[0]](judge, step as never)
  return judge
}

/** Losses of different requests with the same parts at different endpoints, one each half second from a time on. */
function losses (from: number, starts: string, ...parts: Part[]): Step[] {
  return [...starts].map((start, index) => ['lost', from + 500 * index, start, request(...parts)] as const)
}

describe('SuspectVerdicts', () => {
  const cases: [name: string, steps: readonly Step[], subject: SuspectSubject, at: number, expected: SuspectStatus][] = [
    ['does not restrict a part after one loss', losses(0, 'a', 'fatal'), request('fatal'), SECOND, 'clear'],
    ['does not retry different requests after two losses under their part', losses(0, 'ab', 'fatal'), request('fatal'), SECOND, 'no-further-attempt'],
    ['holds different requests back after three losses under their part', losses(0, 'abc', 'fatal'), request('fatal'), 2 * SECOND, 'held-back'],
    ['does not restrict requests without the part', losses(0, 'abc', 'fatal'), request('rare'), 2 * SECOND, 'clear'],
    ['does not suspect a part of which a request was answered shortly before', [['answered', 0, request('common')], ...losses(SECOND, 'abcd', 'fatal', 'common')], request('common'), 4 * SECOND, 'clear'],
    ['suspects the fatal part beside one of which a request was answered', [['answered', 0, request('common')], ...losses(SECOND, 'abcd', 'fatal', 'common')], request('fatal', 'common'), 4 * SECOND, 'held-back'],
    ['clears a part when an answer goes on for longer than a crash takes', [...losses(0, 'abc', 'rare'), ['survived', 2 * SECOND, request('rare')]], request('rare'), 2 * SECOND, 'clear'],
    ['clears a part that is held back when a request of it is answered', [...losses(0, 'abc', 'rare'), ['look', 2 * SECOND, request('rare')], ['answered', 3 * SECOND, request('rare')]], request('rare'), 2 * MINUTE, 'clear'],
    ['clears a part that is held back when another process reports an earlier answer', [...losses(SECOND, 'abc', 'rare'), ['look', 3 * SECOND, request('rare')], ['told-answered', 4 * SECOND, 'rare', 3.5 * SECOND]], request('rare'), 5 * SECOND, 'clear'],
    ['does not count the loss of an endpoint that had been answering for long', [...losses(0, 'ab', 'rare'), ['lost', SECOND, 'c', request('rare'), 600], ['lost', SECOND, 'd', request('rare'), 700]], request('rare'), 2 * SECOND, 'no-further-attempt'],
    ['counts the loss of an endpoint that had just begun to answer', [...losses(0, 'ab', 'rare'), ['lost', SECOND, 'c', request('rare'), 200]], request('rare'), 2 * SECOND, 'held-back'],
    ['counts losses that other processes report', [['told', 0, 'a', 'fatal'], ['told', 0, 'b', 'fatal'], ['told', 10, 'c', 'fatal']], request('fatal'), 300, 'held-back'],
    ['waits for contradictions before it has experience', losses(0, 'abc', 'fatal'), request('fatal'), SECOND + 100, 'no-further-attempt'],
    ['does not wait once it has experience', [['answered', 0, request('common')], ...losses(4 * SECOND, 'abc', 'fatal')], request('fatal'), 5 * SECOND, 'held-back'],
    ['does not blame a part when all connections of an entry are reset', [['reset', 0, 'abcdef', request('rare')]], request('rare'), 500, 'clear'],
    ['releases a part whose losses another part explains', [...losses(0, 'abc', 'fatal', 'rare'), ['look', 2 * SECOND, request('rare')], ...losses(2 * SECOND, 'de', 'fatal')], request('rare'), 4 * SECOND, 'clear'],
    ['holds the explaining part back', [...losses(0, 'abc', 'fatal', 'rare'), ['look', 2 * SECOND, request('rare')], ...losses(2 * SECOND, 'de', 'fatal')], request('fatal'), 4 * SECOND, 'held-back'],
    ['does not blame the parts of a single request that its caller repeats', repeated(request('rare'), 'abc'), request('rare'), 2 * SECOND, 'clear'],
    ['does not blame parts while no request of their model is answered', [...losses(40 * SECOND, 'abc', 'rare')], request('rare'), 42 * SECOND, 'no-further-attempt'],
    ['blames parts while other requests of their model are answered', [['answered', 30 * SECOND, request('common')], ...losses(40 * SECOND, 'abc', 'rare')], request('rare'), 42 * SECOND, 'held-back'],
    ['holds a part back until ten minutes after its last loss', [...losses(0, 'abcd', 'fatal'), ['look', 2 * SECOND, request('fatal')]], request('fatal'), 10 * MINUTE + SECOND, 'held-back'],
    ['retries no request of a part that is on trial', [...losses(0, 'abc', 'fatal'), ['look', 2 * SECOND, request('fatal')], ['look', 11 * MINUTE, request('fatal')]], request('fatal'), 11 * MINUTE, 'no-further-attempt'],
    ['holds a part on trial back after one more loss', [...losses(0, 'abc', 'fatal'), ['look', 2 * SECOND, request('fatal')], ['look', 11 * MINUTE, request('fatal')], ...losses(12 * MINUTE, 'd', 'fatal')], request('fatal'), 21 * MINUTE, 'held-back'],
    ['holds a part on trial back after one loss that another process reports', [...losses(0, 'abc', 'fatal'), ['look', 2 * SECOND, request('fatal')], ['look', 11 * MINUTE, request('fatal')], ['told', 12 * MINUTE, 'd', 'fatal']], request('fatal'), 21 * MINUTE, 'held-back'],
    ['trusts a part again after a trial of an hour', [...losses(0, 'abc', 'fatal'), ['look', 2 * SECOND, request('fatal')], ['look', 11 * MINUTE, request('fatal')]], request('fatal'), 72 * MINUTE, 'clear']
  ]
  for (const [name, steps, subject, at, expected] of cases) it(name, () => assert.equal(after(steps).verdicts.standing(subject, at), expected))

  it('names the part because of which a request is held back, and for how long', () => {
    const { verdicts } = after(losses(0, 'abc', 'fatal'))
    const subject = request('common', 'fatal')
    const trait = verdicts.decisiveTrait(subject, 2 * SECOND)
    assert.deepEqual(trait, traitOf('fatal'))
    assert.equal(verdicts.heldBackFor(traitOf('fatal'), 2 * SECOND), 10 * MINUTE + SECOND - 2 * SECOND)
    assert.equal(verdicts.decisiveTrait(request('common'), 2 * SECOND), undefined)
  })

  const trials: [random: number, admitted: number][] = [[0, 1], [0.5 / 6 - 0.001, 1], [0.5 / 6, 0], [0.99, 0]]
  for (const [random, admitted] of trials) {
    it(`admits ${admitted} requests of a part on trial in one interval if the draw is ${random}`, () => {
      const { verdicts } = after([...losses(0, 'abc', 'fatal'), ['look', 2 * SECOND, request('fatal')], ['look', 11 * MINUTE, request('fatal')]], random)
      const admissions = Array.from({ length: 20 }, (_, index) => verdicts.admits(request('fatal'), 11 * MINUTE + index))
      assert.equal(admissions.filter(Boolean).length, admitted)
    })
  }

  it('sends at most three requests of a fatal part on trial, over all entries', () => {
    // 1000 trials at 6 entries each: each entry draws once in an interval, and the first loss ends the trial everywhere.
    let seed = 7
    const random = (): number => {
      seed = (seed * 48_271) % 2_147_483_647
      return seed / 2_147_483_647
    }
    let exceeded = 0
    for (let trial = 0; trial < 1_000; trial += 1) {
      const entries = Array.from({ length: 6 }, () => {
        const evidence = new SuspectRequests()
        const verdicts = new SuspectVerdicts({ evidence, random, entries: () => 6 }, 0)
        for (const [index, start] of [...'abc'].entries()) {
          verdicts.lost(request('fatal'), start, 0, index)
          evidence.confirm(start)
        }
        verdicts.standing(request('fatal'), SECOND)
        return verdicts
      })
      const sent = entries.filter(verdicts => verdicts.admits(request('fatal'), 11 * MINUTE)).length
      if (sent > 3) exceeded += 1
    }
    assert.ok(exceeded <= 5, `${exceeded} of 1000 trials sent more than three requests`)
  })

  it('keeps memory bounded when all parts are new', () => {
    const { verdicts, evidence } = after([['answered', 0, request('common')]])
    for (let index = 0; index < 3_000; index += 1) {
      const subject: SuspectSubject = { scope: `model-${index}`, traits: [{ kind: 'prompt-part', fingerprint: `d${index.toString(16).padStart(15, '0')}` }] }
      for (const start of 'abc') verdicts.lost(subject, start, 0, index)
      for (const start of 'abc') evidence.confirm(start)
      assert.equal(verdicts.standing(subject, index + SECOND), 'held-back')
      verdicts.answered(subject, index + SECOND)
      assert.equal(evidence.takeConfirmed(index + SECOND).length, 0)
    }
    assert.equal(evidence.known(4_000).length, 0)
  })
})

function repeated (subject: SuspectSubject, starts: string): Step[] {
  return [...starts].map((start, index) => ['lost', 500 * index, start, subject] as const)
}
