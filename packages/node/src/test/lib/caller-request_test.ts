/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import type { IncomingHttpHeaders } from 'node:http'
import { describe, it } from 'node:test'
import { checkConfiguration, type Configuration } from '@drumdrift/core'
import { digestOfText } from '../../lib/agent/digest.js'
import { isFailure, parseCallerRequest } from '../../lib/entry/caller-request.js'

const checked = checkConfiguration({
  models: { chat: { versions: { v1: 'a'.repeat(64) } } },
  pools: { drafting: { model: 'chat', version: 'v1' } },
  services: { booking: { neverRepeat: [{ method: 'POST', pathPrefix: '/notices' }] } },
  organisations: { 'hall-1': {} }
})
const configuration = 'value' in checked ? checked.value : assert.fail() as never as Configuration
const organisations = new Map([[digestOfText('key'), 'hall-1']])
const chat = { model: 'drafting', messages: [{ role: 'user', content: 'Plan' }] }

function parse (url: string, body: unknown, headers: IncomingHttpHeaders = {}, method = 'POST'): ReturnType<typeof parseCallerRequest> {
  const raw = { method, url, headers: { authorization: 'Bearer key', ...headers }, body: Buffer.from(typeof body === 'string' ? body : JSON.stringify(body)) }
  return parseCallerRequest(raw, configuration, organisations, 10_000, 1_000)
}

describe('parseCallerRequest', () => {
  const refused: [name: string, result: ReturnType<typeof parseCallerRequest>, code: string][] = [
    ['a wrong key', parse('/v1/chat/completions', chat, { authorization: 'Bearer wrong' }), 'unknown-organisation'],
    ['no key', parse('/v1/chat/completions', chat, { authorization: undefined }), 'unknown-organisation'],
    ['an unknown model', parse('/v1/chat/completions', { ...chat, model: 'x' }), 'unknown-model'],
    ['a model named like a property of objects', parse('/v1/chat/completions', { ...chat, model: 'constructor' }), 'unknown-model'],
    ['an unknown service', parse('/services/x/y', ''), 'unknown-service'],
    ['a body that is not JSON', parse('/v1/chat/completions', '{'), 'bad-request'],
    ['a body without messages', parse('/v1/chat/completions', { model: 'drafting' }), 'bad-request'],
    ['GET on chat', parse('/v1/chat/completions', chat, {}, 'GET'), 'bad-request'],
    ['an unknown path', parse('/x', ''), 'bad-request'],
    ['an id that is too long', parse('/v1/chat/completions', chat, { 'x-request-id': 'x'.repeat(600) }), 'bad-request'],
    ['an unknown class', parse('/v1/chat/completions', chat, { 'x-request-class': 'urgent' }), 'bad-request'],
    ['a deadline that has passed', parse('/v1/chat/completions', chat, { 'x-deadline-milliseconds': '-5' }), 'deadline-passed'],
    ['a deadline that is not a number', parse('/v1/chat/completions', chat, { 'x-deadline-milliseconds': 'soon' }), 'bad-request'],
    ['an unknown x-repeat value', parse('/v1/chat/completions', chat, { 'x-repeat': 'maybe' }), 'bad-request']
  ]
  for (const [name, result, code] of refused) {
    it(`refuses ${name} as not run`, () => {
      assert.ok(isFailure(result))
      assert.deepEqual([result.code, result.outcome], [code, 'not-run'])
    })
  }

  it('refuses requests until it has a configuration, with a retry time', () => {
    const result = parseCallerRequest({ method: 'GET', url: '/', headers: {}, body: Buffer.alloc(0) }, undefined, organisations, 1, 1)
    assert.ok(isFailure(result) && result.code === 'no-configuration' && result.retryAfter > 0)
  })

  const repeats: [name: string, result: ReturnType<typeof parseCallerRequest>, neverRepeat: boolean][] = [
    ['a declared call', parse('/services/booking/notices/7', ''), true],
    ['another call of that service', parse('/services/booking/halls', ''), false],
    ['the declared path with another method', parse('/services/booking/notices', '', {}, 'GET'), false],
    ['a chat', parse('/v1/chat/completions', chat), false],
    ['a chat with x-repeat: never', parse('/v1/chat/completions', chat, { 'x-repeat': 'never' }), true]
  ]
  for (const [name, result, neverRepeat] of repeats) {
    it(`${name} ${neverRepeat ? 'may not' : 'may'} repeat`, () => assert.equal(!isFailure(result) && result.neverRepeat, neverRepeat))
  }

  it('does not forward the caller\'s key, and bounds the deadline', () => {
    const result = parse('/v1/chat/completions', chat, { 'x-deadline-milliseconds': '999999', 'content-type': 'application/json' })
    assert.ok(!isFailure(result))
    assert.deepEqual(result.headers, { 'content-type': 'application/json' })
    assert.equal(result.deadline, 11_000)
  })
})
