/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { TraitKind } from '@drumdrift/core'
import { RequestTraits } from '../../../lib/routing/request-traits.js'
import type { ReadRequest } from '../../../lib/routing/routed-request.js'

interface Variation {
  readonly body?: string
  readonly organisation?: string
  readonly parts?: readonly string[]
  readonly scope?: string
  readonly key?: string
}

/** The fingerprints of a request's properties of one kind. */
function fingerprints (kind: TraitKind, { body = 'question', organisation = 'branch', parts = ['aa', 'bb'], scope = 'drafting', key = 'key' }: Variation = {}): string[] {
  const request = { head: { promptParts: parts }, method: 'POST', path: '/draft', body: Buffer.from(body), organisation: { name: organisation } } as unknown as ReadRequest
  return new RequestTraits(key).of(request, scope).traits.filter(trait => trait.kind === kind).map(({ fingerprint }) => fingerprint)
}

describe('RequestTraits', () => {
  const cases: [name: string, kind: TraitKind, variation: Variation, same: boolean][] = [
    ['another body', 'request', { body: 'another' }, false],
    ['another organisation', 'request', { organisation: 'other' }, false],
    ['other parts', 'request', { parts: ['cc'] }, true],
    ['another body', 'prompt-part', { body: 'another' }, true],
    ['another organisation', 'prompt-part', { organisation: 'other' }, true],
    ['other parts', 'prompt-part', { parts: ['aa', 'cc'] }, false],
    ['another model', 'prompt-part', { scope: 'other' }, false],
    ['another key', 'prompt-part', { key: 'other' }, false]
  ]
  for (const [name, kind, variation, same] of cases) {
    it(`gives a request with ${name} ${same ? 'the same' : 'other'} fingerprints of the kind ${kind}`, () => {
      assert.equal(JSON.stringify(fingerprints(kind, variation)) === JSON.stringify(fingerprints(kind)), same)
    })
  }

  it('gives a part the same fingerprint beside other parts', () => {
    const [, second] = fingerprints('prompt-part')
    assert.deepEqual(fingerprints('prompt-part', { parts: ['bb', 'cc'] })[0], second)
  })

  it('does not evaluate prompts of plain services', () => assert.deepEqual(fingerprints('prompt-part', { scope: '' }), []))

  it('returns fingerprints that other processes accept', () => {
    for (const kind of ['request', 'prompt-part'] as const) for (const fingerprint of fingerprints(kind)) assert.match(fingerprint, /^[0-9a-f]{16}$/)
  })
})
