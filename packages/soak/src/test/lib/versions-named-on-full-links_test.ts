/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { runSoak } from '../../lib/soak-run.js'

describe('runSoak', () => {
  // A watch that is sent again after a failure reports a version that was named while the answers were delayed.
  it('keeps the promise on versions while the links to the store and between the processes are full', async () => {
    const broken: unknown[] = []
    await runSoak({ seed: 822, minutes: 0.2, processes: 4, rate: 40, pause: 500, faults: ['usual'] }, ({ event, promise, detail }) => { if (event === 'broken' && promise === 'version') broken.push(detail) })
    assert.deepEqual(broken, [])
  })
})
