/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { LoadReport } from '@drumdrift/core'
import { BoundedOutput } from '../../../lib/observe/bounded-output.js'
import { Log } from '../../../lib/observe/log.js'
import { Counters } from '../../../lib/observe/metrics.js'
import { EngineSwitcher } from '../../../lib/routing/engine-switcher.js'
import type { EngineReport, LoadableEngine } from '../../../lib/routing/ports.js'

const report: EngineReport = { running: 4, waiting: 0, contextTokens: 4_000, models: [{ model: 'm', version: 1 }], busy: false, pace: 1 }

/** Polls an engine once per report. Returns the published loads and the number of detected restarts. */
async function pollEach (reports: readonly EngineReport[], changedAt = -Infinity): Promise<{ loads: LoadReport[], startedAgain: number }> {
  const loads: LoadReport[] = []
  let startedAgain = 0
  const remaining = [...reports]
  const engine = { report: async () => remaining.shift(), order: async () => 'done' } as unknown as LoadableEngine
  const switcher = new EngineSwitcher({
    engine,
    log: new Log('error', { role: 'test' }, new BoundedOutput(1, 1_000, (_descriptor, bytes, callback) => { setImmediate(() => callback(null, bytes.length)) })),
    counters: new Counters(),
    versionBound: 8_000,
    situation: () => ({ wanted: { model: 'm', version: 1 }, publishedAt: undefined, whole: 'm@1' }),
    turn: () => ({ index: 0, of: 1, firstCompleteAt: 0 }),
    confirmWhole: async () => true,
    staging: { changedAt, settled: true, lastReadBack: 'whole' },
    onLoad: load => { loads.push(load) },
    onPolled: () => {},
    onEngineRestarted: () => { startedAgain += 1 },
    pool: () => undefined,
    timeToWhole: () => 0,
    estimatedTimeToWhole: () => 0
  })
  switcher.close()
  while (remaining.length > 0) {
    switcher.poll()
    await new Promise(resolve => setImmediate(resolve))
  }
  return { loads, startedAgain }
}

describe('EngineSwitcher', () => {
  const cases: [name: string, startTimes: (number | undefined)[], startedAgain: number][] = [
    ['an engine that does not restart', [100, 100, 100], 0],
    ['an engine that restarts once', [100, 200, 200], 1],
    ['an engine that restarts twice', [100, 200, 300], 2],
    ['an engine that does not report its start time', [undefined, undefined], 0],
    ['an engine that reports its start time late', [undefined, 100, 100], 0]
  ]
  for (const [name, startTimes, expected] of cases) {
    it(`reports the load and detects restarts of ${name}`, async () => {
      const { loads, startedAgain } = await pollEach(startTimes.map(born => ({ ...report, born })))
      assert.deepEqual([startedAgain, loads.map(({ born }) => born)], [expected, startTimes])
    })
  }

  it('does not count prompts from before a restart as read', async () => {
    const { loads } = await pollEach([{ ...report, born: 100 }, { ...report, born: 200 }])
    assert.deepEqual(loads.map(({ unreadTokens }) => unreadTokens), [4_000, 4_000])
  })

  const loads: [name: string, reports: (readonly [sequence: number | undefined, version: number])[], changedAt: number, accepting: boolean][] = [
    ['an engine that takes no order', [[3, 1], [3, 1]], 0, true],
    ['an engine that does not count its orders', [[undefined, 1], [undefined, 1]], 0, true],
    ['an engine that took an order of another kind', [[3, 1], [4, 1], [4, 1]], Infinity, true],
    ['an engine that took an order of an earlier agent', [[3, 2], [4, 1], [4, 1], [4, 1]], -Infinity, true],
    ['an engine that took an order of an earlier agent while the staging memory changed', [[3, 2], [4, 1], [4, 1], [4, 1]], Infinity, false]
  ]
  for (const [name, reports, changedAt, expected] of loads) {
    it(`reports whether it accepts requests, of ${name}`, async () => {
      const { loads } = await pollEach(reports.map(([sequence, version]) => ({ ...report, sequence, models: [{ model: 'm', version }] })), changedAt)
      assert.equal(loads.at(-1)?.accepting, expected)
      assert.equal(loads.at(-1)?.verified === false, !expected)
    })
  }
})
