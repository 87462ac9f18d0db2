/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
// Guards against changes of the rate, the permits or the messages about cold endpoints by which a fleet sends a cold endpoint more than it
// withstands, or hardly anything.
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { coldCases, simulateCold, type ColdRun } from '../../../lib/limits/cold-model.js'

const run: ColdRun = { event: 'zone-returns', entries: 40, requestsPerSecond: 576, limited: true, seed: 7 }

describe('simulateCold', () => {
  for (const event of coldCases) {
    it(`keeps the limit: ${event}`, () => {
      const { mostSent, mostArrived, allowed } = simulateCold({ ...run, event })
      assert.ok(Math.max(mostSent, mostArrived) <= allowed, `${mostSent} sent and ${mostArrived} arrived in one second, ${allowed} allowed`)
    })
  }

  it('uses most of what a zone of cold endpoints withstands', () => {
    const { usedShare } = simulateCold(run)
    assert.ok(usedShare >= 0.6, `used share: ${usedShare.toFixed(3)}`)
  })

  it('exceeds the limit if it is not applied', () => {
    const { mostArrived, allowed } = simulateCold({ ...run, limited: false })
    assert.ok(mostArrived > allowed, `${mostArrived} in one second, ${allowed} allowed`)
  })
})
