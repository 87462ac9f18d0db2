/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { MemoryStaging } from '../../../lib/routing/memory-staging.js'

const bytes = Buffer.from('0123456789')

describe('MemoryStaging', () => {
  const manifests = new Map<string, Buffer>()
  const manifestStore = {
    stage: async (_kind: string, digest: string, manifest: Buffer) => {
      manifests.set(digest, manifest)
      return true
    },
    readBack: async (_kind: string, digest: string) => manifests.get(digest)
  }

  it('stores chunks until they are dropped', async () => {
    const staging = new MemoryStaging(manifestStore, 100)
    assert.equal(await staging.stage('chunks', 'a', bytes), true)
    assert.deepEqual([...await staging.staged()], ['a'])
    assert.equal(await staging.readBack('chunks', 'a'), bytes)
    await staging.drop('a')
    assert.equal(await staging.readBack('chunks', 'a'), undefined)
  })

  const fits: [name: string, digests: readonly string[], expected: readonly boolean[]][] = [
    ['up to its capacity', ['a', 'b'], [true, true]],
    ['but none beyond its capacity', ['a', 'b', 'c'], [true, true, false]],
    ['and counts a repeated chunk once', ['a', 'a', 'b'], [true, true, true]]
  ]
  for (const [name, digests, expected] of fits) {
    it(`accepts chunks ${name}`, async () => {
      const staging = new MemoryStaging(manifestStore, 20)
      const taken: boolean[] = []
      for (const digest of digests) taken.push(await staging.stage('chunks', digest, bytes))
      assert.deepEqual(taken, expected)
    })
  }

  it('frees the capacity of dropped chunks', async () => {
    const staging = new MemoryStaging(manifestStore, 10)
    await staging.stage('chunks', 'a', bytes)
    await staging.drop('a')
    await staging.drop('never-held')
    assert.equal(await staging.stage('chunks', 'b', bytes), true)
  })

  it('stores manifests with the engine', async () => {
    const staging = new MemoryStaging(manifestStore, 0)
    await staging.stage('manifests', 'm@2', bytes)
    assert.equal(manifests.get('m@2'), bytes)
    assert.equal(await staging.readBack('manifests', 'm@2'), bytes)
  })
})
