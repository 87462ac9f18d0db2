/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { runSoak } from '../../lib/soak-run.js'

describe('runSoak', () => {
  it('keeps all promises while entries stop, pause and crash, engines are silent, links fail, endpoints leave, and the store is restored', async () => {
    const lines: string[] = []
    const kept = await runSoak({ seed: 9377, minutes: 0.3, processes: 3, rate: 30, pause: 800, faults: ['usual'] }, fields => { lines.push(JSON.stringify(fields)) })
    assert.ok(kept, lines.join('\n'))
    for (const kind of ['entry-stops', 'entry-killed', 'endpoint-drains', 'key-revoked', 'route-moves', 'store-way-cut', 'store-restored', 'version-named', 'peers-way-silent', 'engines-silent', 'engine-silent', 'entry-paused']) assert.ok(lines.some(line => line.includes(`"${kind}"`)), kind)
  })

  // Engines loaded chunks of other versions when orders or writes took effect after their agents had given them up.
  it('keeps all promises while versions come in series, orders and writes take effect late, agents pause and pieces are corrupted', async () => {
    const lines: string[] = []
    const kept = await runSoak({ seed: 4262, minutes: 0.3, processes: 3, rate: 30, pause: 500, faults: ['versions'] }, fields => { lines.push(JSON.stringify(fields)) })
    assert.ok(kept, lines.join('\n'))
    for (const kind of ['orders-held', 'writes-held', 'corrupted-after-read', 'agent-paused']) assert.ok(lines.some(line => line.includes(`"${kind}"`)), kind)
  })
})
