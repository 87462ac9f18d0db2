/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { decideStart, retryAfter } from '../../../lib/routing/early-refusal.js'

describe('decideStart', () => {
  const cases: [name: string, expected: number, type: string][] = [
    ['starts what will be in time', 300, 'start'],
    ['starts what will be a little late', 500, 'start'],
    ['refuses what will be late', 521, 'refuse'],
    ['refuses what will be very late', 9_000, 'refuse']
  ]
  for (const [name, expected, type] of cases) it(name, () => assert.equal(decideStart({ expected, objective: 400 }).type, type))
})

describe('retryAfter', () => {
  const cases: [name: string, patience: number, draw: number, expected: number][] = [
    ['is a third of what the caller still waits at most', 6_000, 0, 2_000],
    ['is spread over two fifths of that', 6_000, 0.5, 1_600],
    ['is never nothing while the caller waits', 600, 0.999, 120],
    ['is nothing for a caller without time', 0, 0, 0]
  ]
  for (const [name, patience, draw, expected] of cases) it(name, () => assert.equal(retryAfter(patience, draw), expected))
})
