/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { readSuspectNews } from '../../../../lib/routing/attempts/suspect-news.js'

const fatal = '00000000000000fa'

describe('readSuspectNews', () => {
  const loss = { fingerprint: fatal, start: 'a', age: 1 }
  const answer = { fingerprint: fatal, age: 1 }
  const cases: [name: string, input: unknown, readable: boolean][] = [
    ['losses and answers', { losses: [loss], answers: [answer] }, true],
    ['undefined', undefined, false],
    ['a list', [loss], false],
    ['losses alone', { losses: [loss] }, false],
    ['a list with an invalid item', { losses: [loss, 7], answers: [] }, false],
    ['a loss without an endpoint', { losses: [answer], answers: [] }, false],
    ['a malformed fingerprint', { losses: [], answers: [{ ...answer, fingerprint: 'a question' }] }, false],
    ['an overlong endpoint name', { losses: [{ ...loss, start: 'a'.repeat(201) }], answers: [] }, false],
    ['a negative age', { losses: [{ ...loss, age: -1 }], answers: [] }, false],
    ['an age that is not a number', { losses: [{ ...loss, age: Number.NaN }], answers: [] }, false],
    ['too many losses', { losses: Array.from({ length: 513 }, () => loss), answers: [] }, false]
  ]
  for (const [name, input, readable] of cases) it(`${readable ? 'accepts' : 'rejects'} ${name}`, () => assert.equal(readSuspectNews(input) !== undefined, readable))
})
