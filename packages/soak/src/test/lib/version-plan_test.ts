/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { seededRandom } from '@drumdrift/stand-ins'
import type { PlannedFault } from '../../lib/fault-plan.js'
import { drawVersionFaults } from '../../lib/version-plan.js'

const plan = drawVersionFaults(seededRandom(7), { length: 600_000, pause: 500, faults: ['versions'] })

function ofKind (kind: string): PlannedFault[] { return plan.filter(fault => fault.kind === kind) }

describe('drawVersionFaults', () => {
  const cases: [kind: string, field: 'durationMilliseconds' | 'delayMilliseconds', least: number, most: number][] = [
    ['orders-held', 'delayMilliseconds', 2_000, 7_000],
    ['writes-held', 'delayMilliseconds', 2_300, 6_000],
    ['agent-paused', 'durationMilliseconds', 1_000, 5_000],
    ['paused-after-read', 'durationMilliseconds', 1_000, 5_000],
    ['corrupted-after-read', 'delayMilliseconds', 200, 650]
  ]
  for (const [kind, field, least, most] of cases) {
    it(`draws faults of the kind ${kind} from ${least} to ${most} ms, at each target`, () => {
      const faults = ofKind(kind)
      const values = faults.map(fault => fault[field])
      assert.ok(Math.min(...values) >= least && Math.max(...values) <= most)
      assert.equal(new Set(faults.map(({ targetPosition }) => Math.floor(targetPosition * 3))).size, 3)
    })
  }

  it('draws faults of the kinds piece-corrupted and agent-killed', () => {
    for (const kind of ['piece-corrupted', 'agent-killed']) assert.ok(ofKind(kind).length > 0, kind)
  })

  it('draws most versions 1 to 4 s apart', () => {
    const times = ofKind('version-named').map(({ at }) => at)
    const pauses = times.slice(1).map((at, index) => at - (times[index] ?? 0))
    assert.ok(pauses.filter(pause => pause >= 1_000 && pause <= 4_000).length > pauses.length * 2 / 3)
  })
})
