/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { deflateRawSync } from 'node:zlib'
import { failureOf, PublishedState, type PublishedChange } from '@drumdrift/core'
import { encode } from 'cbor-x'
import { NewsPacker, packNews, unpackNews } from '../../../lib/routing/packed-news.js'

const record = { id: 'a', service: 'pool', address: '10.0.0.1:80', availabilityZone: 'koshi', slots: 4, draining: false, models: [{ model: 'm', version: 2 }] }
const listed: PublishedChange = { type: 'endpoint', revision: 2, record }
const named: PublishedChange = { type: 'wanted-version', revision: 3, wanted: { model: 'm', version: 2 } }
const nothing = { epoch: 0, configuration: 0, versions: 0, endpoints: 0 }

function known (): PublishedState {
  const state = new PublishedState()
  state.takeWhole('endpoints', [listed], 3, 0)
  state.takeWhole('versions', [named], 3, 0)
  return state
}

describe('packNews and unpackNews', () => {
  it('round-trip a delta', () => {
    const delta = known().since(nothing, 0)
    assert.deepEqual(unpackNews(packNews(delta)), delta)
  })

  it('include only the requested topics', () => {
    const delta = unpackNews(new NewsPacker(known()).since({ ...nothing, endpoints: 1 }, ['versions'], 0))
    assert.deepEqual([delta.changes.map(({ type }) => type), delta.upTo], [['wanted-version'], { epoch: 0, configuration: 0, versions: 3, endpoints: 1 }])
  })

  it('invalidate the cached encoding when the state changes', () => {
    const state = known()
    const packer = new NewsPacker(state)
    const before = packer.since(nothing, undefined, 0)
    assert.equal(packer.since(nothing, undefined, 0), before)
    state.take({ ...listed, revision: 9, record: { ...record, draining: true } }, 0)
    assert.equal(unpackNews(packer.since(nothing, undefined, 0)).changes.some(change => change.type === 'endpoint' && change.record.draining), true)
  })

  const malformed: [name: string, bytes: Buffer][] = [
    ['uncompressed bytes', Buffer.from('news')],
    ['a value that is not a delta', deflateRawSync(encode('news'))],
    ['a delta without revisions', deflateRawSync(encode({ changes: [], whole: [], upTo: {} }))],
    ['oversized content', deflateRawSync(Buffer.alloc(17 * 1024 * 1024))]
  ]
  for (const [name, bytes] of malformed) {
    it(`reject ${name}`, () => {
      assert.throws(() => unpackNews(bytes), (error: unknown) => {
        const failure = failureOf(error)
        return failure.type === 'peer-failure' && failure.reason === 'malformed'
      })
    })
  }
})
