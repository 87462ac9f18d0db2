/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { crowdBytes, MAX_BODY_BYTES, type CrowdKind } from '../../lib/crowds.js'

/** Returns the first megabytes that a client sends. */
function sentBy (kind: CrowdKind): string {
  let text = ''
  for (const block of crowdBytes[kind]('client-1', 'key-1')) {
    text += block.toString('latin1')
    if (text.length > 2 * MAX_BODY_BYTES) break
  }
  return text
}

/** Returns the sizes of the chunks after the first head. */
function chunksOf (text: string): number[] { return [...text.matchAll(/\r\n([0-9a-f]+)\r\na+(?=\r\n)/g)].map(([, size]) => parseInt(size ?? '', 16)) }

const total = (sizes: readonly number[]): number => sizes.reduce((sum, size) => sum + size, 0)

describe('crowdBytes', () => {
  const cases: [kind: CrowdKind, chunkBytes: number, isEndless: boolean, head: RegExp][] = [
    ['crowd-of-open-bodies', 1, false, /^POST \/safe\/.*X-Credential: key-1\r\n/s],
    ['crowd-of-large-open-bodies', 65_536, false, /^POST \/safe\/.*X-Credential: key-1\r\n/s],
    ['crowd-of-unknown-keys', 1, true, /^POST \/safe\/.*X-Credential: key-of-nobody\r\n/s],
    ['crowd-of-unknown-routes', 65_536, true, /^POST \/nowhere\/.*X-Credential: key-1\r\n/s]
  ]
  for (const [kind, chunkBytes, isEndless, head] of cases) {
    it(`yields a body without its end in chunks of ${chunkBytes} for a ${kind}`, () => {
      const text = sentBy(kind)
      const chunks = chunksOf(text)
      assert.match(text.slice(0, 300), head)
      assert.deepEqual(new Set(chunks), new Set([chunkBytes]))
      assert.ok(!text.includes('\r\n0\r\n'))
      assert.equal(text.length > 2 * MAX_BODY_BYTES, isEndless)
      if (!isEndless) assert.ok(total(chunks) < MAX_BODY_BYTES)
    })
  }

  it('yields whole requests for a crowd of pipelines', () => { assert.equal(sentBy('crowd-of-pipelines').split('Content-Length: 1\r\n\r\na').length - 1, 50) })
})
