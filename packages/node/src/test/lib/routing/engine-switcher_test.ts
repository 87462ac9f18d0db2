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

/** Looks at an engine once for each report. Returns what was told of it, and how often it was taken to have started again. */
async function looked (reports: readonly EngineReport[]): Promise<{ told: LoadReport[], startedAgain: number }> {
  const told: LoadReport[] = []
  let startedAgain = 0
  const left = [...reports]
  const engine = { report: async () => left.shift(), order: async () => 'done' } as unknown as LoadableEngine
  const switcher = new EngineSwitcher({
    engine,
    log: new Log('error', { role: 'test' }, new BoundedOutput(1, 1_000, (_descriptor, bytes, callback) => { setImmediate(() => callback(null, bytes.length)) })),
    counters: new Counters(),
    versionBound: 8_000,
    situation: () => ({ wanted: { model: 'm', version: 1 }, heardAt: undefined, whole: 'm@1' }),
    turn: () => ({ index: 0, finalIndex: 0, of: 1, since: 0 }),
    confirmWhole: async () => true,
    onLoad: load => { told.push(load) },
    onLooked: () => {},
    onStartedAgain: () => { startedAgain += 1 },
    pool: () => undefined,
    timeToWhole: () => 0
  })
  switcher.close()
  while (left.length > 0) {
    switcher.look()
    await new Promise(resolve => setImmediate(resolve))
  }
  return { told, startedAgain }
}

describe('EngineSwitcher', () => {
  const cases: [name: string, borns: (number | undefined)[], startedAgain: number][] = [
    ['an engine that goes on', [100, 100, 100], 0],
    ['one that starts again', [100, 200, 200], 1],
    ['one that starts again and again', [100, 200, 300], 2],
    ['one that does not tell its start', [undefined, undefined], 0],
    ['one that tells it later', [undefined, 100, 100], 0]
  ]
  for (const [name, borns, expected] of cases) {
    it(`tells ${name}`, async () => {
      const { told, startedAgain } = await looked(borns.map(born => ({ ...report, born })))
      assert.deepEqual([startedAgain, told.map(({ born }) => born)], [expected, borns])
    })
  }

  it('does not take the prompts of an earlier start for read', async () => {
    const { told } = await looked([{ ...report, born: 100 }, { ...report, born: 200 }])
    assert.deepEqual(told.map(({ unreadTokens }) => unreadTokens), [4_000, 4_000])
  })
})
