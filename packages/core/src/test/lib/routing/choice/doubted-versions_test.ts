/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EndpointLoad, type LoadReport } from '../../../../lib/routing/choice/endpoint-load.js'

const told = (version: number, verified?: boolean): LoadReport => ({ running: 0, waiting: 0, version, accepting: true, pace: 1, ...(verified === undefined ? {} : { verified }) })
const cases: [name: string, reports: readonly LoadReport[], doubted: readonly number[], covered: readonly number[]][] = [
  ['without a report', [], [], [1, 2, 3]],
  ['with reports of one version', [told(1), told(1)], [], [1]],
  ['with a doubted version', [told(1), told(2, false)], [2], [1, 2]],
  ['with a doubt that a later agent does not know of', [told(2, false), told(2)], [2], [1, 2]],
  ['with a doubt that a check ended', [told(2, false), told(2, true)], [], [1, 2]],
  ['with a doubt that the next version ended', [told(2, false), told(0), told(3)], [], [1, 2, 3]]
]

// Guards against requests to an engine whose load its agent found, or may find, not to be whole, while the agent does not report.
describe('EndpointLoad', () => {
  for (const [name, reports, doubted, covered] of cases) {
    it(`tells which versions may be used ${name}`, () => {
      const load = new EndpointLoad()
      reports.forEach((report, index) => load.heard(report, index))
      assert.deepEqual([[1, 2, 3].filter(version => load.doubts(version)), [1, 2, 3].filter(version => load.covers(version))], [doubted, covered])
    })
  }

  it('covers all versions once its reports are not received any more', () => {
    const load = new EndpointLoad()
    load.heard(told(1), 0)
    load.forgetReport()
    assert.deepEqual([1, 2].filter(version => load.covers(version)), [1, 2])
  })
})
