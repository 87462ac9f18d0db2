/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { UnreadTokens, type ContextReading } from '../../../../lib/routing/choice/unread-tokens.js'

/** Tokens that the engine of these cases reads in a millisecond. */
const READ_RATE = 20
const LOOK_PAUSE = 100

function reading (running: number, contextTokens: number): ContextReading { return { running, contextTokens } }

describe('UnreadTokens', () => {
  const cases: [name: string, readings: readonly ContextReading[], unread: number][] = [
    ['nothing at an idle engine', [reading(0, 0)], 0],
    ['all prompts of an engine that has just begun', [reading(0, 0), reading(8, 8_000)], 8_000],
    ['less by what was read meanwhile', [reading(0, 0), reading(8, 8_000), reading(8, 8_000)], 6_000],
    ['nothing once all was read', [reading(0, 0), reading(1, 900), reading(1, 905)], 5],
    ['a new prompt in the place of one that ended', [reading(4, 4_000), reading(4, 4_000), reading(4, 4_000), reading(3, 4_200)], 1_200],
    ['nothing when requests only end', [reading(4, 4_000), reading(4, 4_000), reading(4, 4_000), reading(3, 3_000)], 0],
    ['nothing once all have ended', [reading(0, 0), reading(8, 8_000), reading(0, 0)], 0]
  ]
  for (const [name, readings, unread] of cases) {
    it(`tells ${name}`, () => {
      const estimate = new UnreadTokens()
      let seen = 0
      readings.forEach((each, index) => { seen = estimate.observe(each, READ_RATE, index * LOOK_PAUSE) })
      assert.equal(seen, unread)
    })
  }
})
