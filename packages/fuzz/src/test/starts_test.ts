/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EndpointChooser, PublishedState, startKeyOf, type EndpointRecord, type PublishedChange, type ServiceDescription } from '@drumdrift/core'
import fc from 'fast-check'

const SEED = 7
const RUNS = 300
const AVOIDED_TIME = 100
const service: ServiceDescription = {
  name: 'pool',
  maxConnections: 100,
  pool: { slots: 8, stride: 5, stepTime: 9, stepTimePerRequest: 0.02, stepTimePerThousandTokens: 0.03, promptTokensPerMillisecond: 20, promptTokensPerStep: 2_048, usualPromptTokens: 900, usualAnswerTokens: 90, models: [], layers: 16, chunks: 4, chunkBytes: 8 }
}
const need = { promptTokens: 500, answerTokens: 0, model: 'm', leastVersion: 0, mustBeginBy: () => undefined, usualObjective: 400, tried: new Set<string>() }

function recordOf (born: number | undefined): EndpointRecord {
  return { id: 'engine', ...(born === undefined ? {} : { born }), service: 'pool', address: '10.0.0.1:80', availabilityZone: 'hall', slots: 8, draining: false, models: [{ model: 'm', version: 1 }] }
}

type Step = 'restart' | 'report' | 'late-report' | 'refuse' | 'fail' | 'choose'

/**
 * Applies steps to a chooser.
 *
 * @param createRecord Creates the record that the chooser receives for a start; the variant's record does not identify the start.
 * @returns What went wrong, or `undefined`.
 */
function applySteps (steps: readonly Step[], createRecord: (born: number) => EndpointRecord): string | undefined {
  const chooser = new EndpointChooser({ availabilityZone: 'hall', regionOf: () => 'here' }, () => 0)
  let [born, now, hasReport, avoidedUntil] = [1, 0, false, 0]
  let record = createRecord(born)
  chooser.setRecords([record])
  const load = { running: 1, waiting: 0, version: 1, accepting: true, pace: 1 }
  for (const step of steps) {
    now += 10
    if (step === 'restart') {
      born += 1
      record = createRecord(born)
      chooser.setRecords([record])
      hasReport = false
      avoidedUntil = 0
    } else if (step === 'report') {
      chooser.heard(startKeyOf(record), load, now)
      hasReport = true
    } else if (step === 'late-report') chooser.heard(startKeyOf(createRecord(born - 1)), { ...load, accepting: false }, now)
    else if (step === 'refuse') {
      chooser.skip(startKeyOf(record), 'refused', now)
      avoidedUntil = now + AVOIDED_TIME
    } else if (step === 'fail') chooser.ended(startKeyOf(record), 'request', 'bad', now)
    else {
      const choice = chooser.choose(service, need, now)
      if ((choice !== undefined) !== (now >= avoidedUntil)) return `chosen: ${choice !== undefined}, avoided until ${avoidedUntil}, now ${now}`
      if (choice !== undefined && Number.isFinite(choice.reportAge) !== hasReport) return 'the choice uses a report of another start, or none'
    }
  }
  return undefined
}

describe('an endpoint that restarts repeatedly under the same id', () => {
  const steps = fc.array(fc.constantFrom<Step>('restart', 'report', 'late-report', 'refuse', 'fail', 'choose'), { maxLength: 60 })

  it('is never judged by the state of an earlier start', () => {
    fc.assert(fc.property(steps, sequence => { assert.equal(applySteps(sequence, recordOf), undefined) }), { seed: SEED, numRuns: RUNS })
  })

  it('is judged by earlier starts, which the check detects, if state is kept by id alone', () => {
    const found = fc.check(fc.property(steps, sequence => applySteps(sequence, () => recordOf(undefined)) === undefined), { seed: SEED, numRuns: RUNS })
    assert.ok(found.failed)
  })

  it('is never listed with an earlier start after a later one, whatever the order and repetition of changes', () => {
    const change = fc.record({ born: fc.integer({ min: 1, max: 5 }), revision: fc.integer({ min: 1, max: 30 }), gone: fc.boolean() })
    fc.assert(fc.property(fc.array(change, { maxLength: 40 }), changes => {
      const state = new PublishedState()
      let newest = 0
      for (const { born, revision, gone } of changes) {
        const published: PublishedChange = gone ? { type: 'endpoint-gone', revision, id: 'engine' } : { type: 'endpoint', revision, record: recordOf(born) }
        state.take(published, 0)
        const held = state.endpoints()[0]?.born
        if (held === undefined) continue
        assert.ok(held >= newest, `${held} after ${newest}`)
        newest = held
      }
    }), { seed: SEED, numRuns: 2_000 })
  })
})
