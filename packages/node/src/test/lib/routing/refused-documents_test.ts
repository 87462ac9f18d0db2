/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { BoundedOutput } from '../../../lib/observe/bounded-output.js'
import { Log } from '../../../lib/observe/log.js'
import { Counters } from '../../../lib/observe/metrics.js'
import { RefusedDocuments } from '../../../lib/routing/refused-documents.js'

/** Returns the number of log lines for failures, each given as a document and the time at which it is noted. */
async function countLogLines (failures: readonly (readonly [document: string, at: number])[]): Promise<number> {
  const lines: string[] = []
  const log = new Log('info', { role: 'test' }, new BoundedOutput(1, 1_000_000, (_descriptor, bytes, callback) => {
    lines.push(...bytes.toString('utf8').trim().split('\n'))
    setImmediate(() => callback(null, bytes.length))
  }))
  const refused = new RefusedDocuments(log, new Counters())
  for (const [document, at] of failures) refused.note({ type: 'document-failure', reason: 'invalid', detail: document }, at)
  await new Promise(resolve => setTimeout(resolve, 20))
  return lines.length
}

describe('RefusedDocuments', () => {
  const cases: [name: string, complaints: (readonly [string, number])[], lines: number][] = [
    ['logs a failure', [['a', 0]], 1],
    ['logs failures of different documents', [['a', 0], ['b', 0]], 2],
    ['logs the same failure at most once a minute', [['a', 0], ['a', 100], ['a', 59_999]], 1],
    ['logs the same failure again after a minute', [['a', 0], ['a', 60_000]], 2]
  ]
  for (const [name, complaints, lines] of cases) {
    it(name, async () => { assert.equal(await countLogLines(complaints), lines) })
  }
})
