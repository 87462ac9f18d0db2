/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { seededRandom } from '@drumdrift/stand-ins'
import { drawCrowds } from '../../lib/crowd-plan.js'

describe('drawCrowds', () => {
  it('draws 20 to 80 connections that stay open for 2 to 6 s, at each entry', () => {
    const crowds = drawCrowds(seededRandom(7), { length: 600_000, pause: 500, faults: ['crowds'] })
    assert.ok(crowds.every(({ connections = 0, durationMilliseconds }) => connections >= 20 && connections <= 80 && durationMilliseconds >= 2_000 && durationMilliseconds <= 6_000))
    assert.equal(new Set(crowds.map(({ targetPosition }) => Math.floor(targetPosition * 4))).size, 4)
  })
})
