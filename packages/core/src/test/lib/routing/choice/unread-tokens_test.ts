/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { UnreadTokenEstimator, type ContextReading } from '../../../../lib/routing/choice/unread-tokens.js'

/** The prefill rate of the engine, in tokens per millisecond. */
const READ_RATE = 20
const LOOK_PAUSE = 100

function reading (running: number, contextTokens: number): ContextReading { return { running, contextTokens } }

describe('UnreadTokenEstimator', () => {
  const cases: [name: string, readings: readonly ContextReading[], unread: number][] = [
    ['no tokens for an idle engine', [reading(0, 0)], 0],
    ['all prompts of an engine that has just started', [reading(0, 0), reading(8, 8_000)], 8_000],
    ['the prompts minus those read since', [reading(0, 0), reading(8, 8_000), reading(8, 8_000)], 6_000],
    ['only generated tokens once all prompts are read', [reading(0, 0), reading(1, 900), reading(1, 905)], 5],
    ['a new prompt after another request has ended', [reading(4, 4_000), reading(4, 4_000), reading(4, 4_000), reading(3, 4_200)], 1_200],
    ['no tokens if requests only end', [reading(4, 4_000), reading(4, 4_000), reading(4, 4_000), reading(3, 3_000)], 0],
    ['no tokens once all requests have ended', [reading(0, 0), reading(8, 8_000), reading(0, 0)], 0]
  ]
  for (const [name, readings, unread] of cases) {
    it(`estimates ${name}`, () => {
      const estimate = new UnreadTokenEstimator()
      let seen = 0
      readings.forEach((each, index) => { seen = estimate.observe(each, READ_RATE, index * LOOK_PAUSE) })
      assert.equal(seen, unread)
    })
  }
})
