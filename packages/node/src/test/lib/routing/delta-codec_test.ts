/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { deflateRawSync } from 'node:zlib'
import { failureOf, PublishedState, type PublishedChange, type PublishedDelta } from '@drumdrift/core'
import { encode } from 'cbor-x'
import { DeltaEncoder, encodeDelta, decodeDelta } from '../../../lib/routing/delta-codec.js'

const record = { id: 'a', service: 'pool', address: '10.0.0.1:80', availabilityZone: 'koshi', slots: 4, draining: false, models: [{ model: 'm', version: 2 }] }
const endpointChange: PublishedChange = { type: 'endpoint', revision: 2, record }
const versionChange: PublishedChange = { type: 'wanted-version', revision: 3, wanted: { model: 'm', version: 2 } }
const noRevisions = { epoch: 0, configuration: 0, versions: 0, endpoints: 0, evacuations: 0 }

function stateWithChanges (): PublishedState {
  const state = new PublishedState()
  state.takeSnapshot('endpoints', [endpointChange], 3, 0)
  state.takeSnapshot('versions', [versionChange], 3, 0)
  return state
}

describe('encodeDelta and decodeDelta', () => {
  it('round-trip a delta', () => {
    const delta = stateWithChanges().deltaSince(noRevisions, 0)
    assert.deepEqual(decodeDelta(encodeDelta(delta)), delta)
  })

  it('include only the requested topics', () => {
    const delta = decodeDelta(new DeltaEncoder(stateWithChanges()).since({ ...noRevisions, endpoints: 1 }, ['versions'], 0).bytes)
    assert.deepEqual([delta.changes.map(({ type }) => type), delta.upTo], [['wanted-version'], { epoch: 0, configuration: 0, versions: 3, endpoints: 1, evacuations: 0 }])
  })

  it('invalidate the cached encoding when the state changes', () => {
    const state = stateWithChanges()
    const packer = new DeltaEncoder(state)
    const before = packer.since(noRevisions, undefined, 0).bytes
    assert.equal(packer.since(noRevisions, undefined, 0).bytes, before)
    state.take({ ...endpointChange, revision: 9, record: { ...record, draining: true } }, 0)
    assert.equal(decodeDelta(packer.since(noRevisions, undefined, 0).bytes).changes.some(change => change.type === 'endpoint' && change.record.draining), true)
  })

  it('tell the age of a cached encoding, so that the ages in it can be corrected', () => {
    const encoder = new DeltaEncoder(stateWithChanges())
    assert.deepEqual([1_000, 1_400].map(now => encoder.since(noRevisions, undefined, now).encodedFor), [0, 400])
  })

  it('decode a delta of a process that knows no evacuations', () => {
    const { evacuations: _unknown, ...known } = noRevisions
    const delta = decodeDelta(encodeDelta({ changes: [endpointChange], whole: [], upTo: { ...known, evacuations: undefined }, held: known } as unknown as PublishedDelta))
    assert.deepEqual([delta.changes, delta.upTo, delta.held], [[endpointChange], noRevisions, noRevisions])
  })

  const malformed: [name: string, bytes: Buffer][] = [
    ['uncompressed bytes', Buffer.from('news')],
    ['a value that is not a delta', deflateRawSync(encode('news'))],
    ['a delta without revisions', deflateRawSync(encode({ changes: [], whole: [], upTo: {} }))],
    ['oversized content', deflateRawSync(Buffer.alloc(17 * 1024 * 1024))]
  ]
  for (const [name, bytes] of malformed) {
    it(`reject ${name}`, () => {
      assert.throws(() => decodeDelta(bytes), (error: unknown) => {
        const failure = failureOf(error)
        return failure.type === 'peer-failure' && failure.reason === 'malformed'
      })
    })
  }
})
