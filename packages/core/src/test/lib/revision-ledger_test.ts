/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { DocumentFailure } from '../../lib/failure.js'
import { RevisionLedger } from '../../lib/revision-ledger.js'

function check (input: unknown): { value: number } | { failure: DocumentFailure } {
  return typeof input === 'number' ? { value: input } : { failure: { type: 'document-failure', reason: 'invalid', detail: 'not a number' } }
}

describe('RevisionLedger', () => {
  const cases: [name: string, offers: [source: string, revision: number, document: unknown][], last: string, revision: number][] = [
    ['adopts the first document', [['s', 1, 10]], 'adopted', 1],
    ['adopts a higher revision', [['s', 1, 10], ['s', 5, 11]], 'adopted', 5],
    ['ignores the same revision', [['s', 5, 10], ['s', 5, 11]], 'same', 5],
    ['refuses a lower revision', [['s', 5, 10], ['s', 4, 11]], 'older', 5],
    ['refuses another source', [['s', 5, 10], ['t', 9, 11]], 'wrong-source', 5],
    ['refuses an invalid document and keeps the current one', [['s', 5, 10], ['s', 6, 'x']], 'invalid', 5],
    ['adopts a valid document after an invalid one', [['s', 5, 10], ['s', 6, 'x'], ['s', 7, 12]], 'adopted', 7],
    ['refuses a fractional revision', [['s', 1.5, 10]], 'invalid', 0]
  ]
  for (const [name, offers, last, revision] of cases) {
    it(name, () => {
      const ledger = new RevisionLedger('s', check)
      const results = offers.map(([source, number, document]) => ledger.offer({ source, revision: number, document }))
      const end = results.at(-1)
      assert.equal(end?.type === 'refused' ? end.failure.reason : end?.type, last)
      assert.equal(ledger.revision, revision)
    })
  }
  it('counts a refused revision as seen', () => {
    const ledger = new RevisionLedger('s', check)
    ledger.offer({ source: 's', revision: 6, document: 'x' })
    assert.equal(ledger.seenRevision, 6)
    assert.equal(ledger.revision, 0)
  })
})
