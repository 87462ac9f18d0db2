/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { createConnection } from 'node:net'
import { after, before, describe, it } from 'node:test'
import OpenAI from 'openai'
import { requestHttp } from 'drumdrift'
import { expectedText, generateVersion } from '@drumdrift/stand-ins'
import { obtainRequestId, makeCall, type Call } from '../lib/callers.js'
import { callerKey, Fleet, OPERATOR_KEY, organisations } from '../lib/fleet.js'

const version = generateVersion({ model: 'chat', version: 'v1', chunks: 8, chunkBytes: 16_384, seed: 1 })
const TIMEOUT_MILLISECONDS = 30_000
let fleet: Fleet

function configurationOf (extra: object = {}): Parameters<Fleet['publish']>[0] {
  return {
    models: { chat: { versions: { v1: version.digest } } },
    pools: { drafting: { model: 'chat', version: 'v1', switchFraction: 1, slots: 8, originCopies: 1 } },
    services: { booking: { slots: 8, neverRepeat: [{ method: 'POST', pathPrefix: '/notices' }] } },
    organisations: organisations({ 'hall-1': 1, 'hall-2': 1 }),
    ...extra
  }
}

function entryAddress (index = 0): string { return fleet.entries[index]?.httpAddress ?? '' }

async function post (path: string, body: string, headers: Record<string, string> = {}): Promise<{ status: number, code: string }> {
  const answer = await requestHttp(entryAddress(), { method: 'POST', path, body, headers: { authorization: `Bearer ${callerKey('hall-1')}`, ...headers } })
  return { status: answer.status, code: /"code":"([a-z-]+)"/.exec(answer.body.toString())?.[1] ?? '' }
}

async function runsOf (id: string): Promise<number> {
  const { plains } = await fleet.journals()
  return plains.reduce((sum, plain) => sum + (plain.runs[id] ?? 0), 0)
}

async function operator (text: string): Promise<string> {
  const answer = await requestHttp(entryAddress(), { method: 'POST', path: '/operator/ask?format=pairs', body: text, headers: { authorization: `Bearer ${OPERATOR_KEY}` } })
  return answer.body.toString()
}

describe('entries, agents and endpoints as separate processes', { timeout: 120_000 }, () => {
  before(async () => {
    fleet = await Fleet.prepare({
      availabilityZones: ['koshi'],
      entriesPerZone: 2,
      endpoints: [...['drafting', 'drafting'].map(name => ({ name, kind: 'model' as const, availabilityZone: 'koshi' })), ...['booking', 'booking'].map(name => ({ name, kind: 'plain' as const, availabilityZone: 'koshi' }))],
      linkMegabytesPerSecond: 100,
      originMegabytesPerSecond: 100,
      settings: [['requests', 'largest-body-kilobytes', '64']]
    })
    fleet.addVersion(version)
    fleet.publish(configurationOf())
    fleet.publishInstances()
    await fleet.startAll()
    assert.ok(await fleet.waitUntilUp(TIMEOUT_MILLISECONDS))
    assert.ok(await fleet.waitUntil(async () => {
      const { engines } = await fleet.journals()
      return engines.length === 2 && engines.every(engine => engine.version === version.digest)
    }, TIMEOUT_MILLISECONDS))
    assert.ok(await fleet.waitUntil(async () => (await post('/services/booking/halls', '')).status === 200, TIMEOUT_MILLISECONDS))
  })
  after(async () => {
    assert.equal(await fleet.stop(), 0, 'no process is left behind')
  })

  it('serves an off-the-shelf client, streamed and unstreamed', async () => {
    const client = new OpenAI({ apiKey: callerKey('hall-1'), baseURL: `http://${entryAddress()}/v1`, maxRetries: 0 })
    const messages = [{ role: 'user' as const, content: 'Plan the rehearsal' }]
    const whole = await client.chat.completions.create({ model: 'drafting', messages, max_tokens: 12 })
    assert.equal(whole.choices[0]?.message.content, expectedText(version.digest, 'Plan the rehearsal', 12))
    const stream = await client.chat.completions.create({ model: 'drafting', messages, max_tokens: 12, stream: true })
    let text = ''
    for await (const event of stream) text += event.choices[0]?.delta.content ?? ''
    assert.equal(text, expectedText(version.digest, 'Plan the rehearsal', 12))
    const models = await client.models.list()
    assert.deepEqual(models.data.map(model => model.id), ['drafting'])
  })

  const invalidRequests: [name: string, path: string, body: string, headers: Record<string, string>, status: number, code: string][] = [
    ['an unknown model', '/v1/chat/completions', '{"model":"x","messages":[{}]}', {}, 404, 'unknown-model'],
    ['an unknown organisation', '/v1/chat/completions', '{}', { authorization: 'Bearer no' }, 401, 'unknown-organisation'],
    ['an oversized body', '/v1/chat/completions', 'x'.repeat(70_000), {}, 413, 'body-too-large'],
    ['an expired deadline', '/services/booking/halls', '', { 'x-deadline-milliseconds': '0' }, 408, 'deadline-passed'],
    ['a body that is not JSON', '/v1/chat/completions', '{{{', {}, 400, 'bad-request']
  ]
  for (const [name, path, body, headers, status, code] of invalidRequests) {
    it(`answers ${name} with ${status} ${code} and continues to serve`, async () => {
      assert.deepEqual(await post(path, body, headers), { status, code })
      assert.equal((await post('/services/booking/halls', '')).status, 200)
    })
  }

  it('continues to serve after invalid data on the peer port', async () => {
    for (const data of ['GET / HTTP/1.1\r\n\r\n', '\0\0\0\x01\0\0\0\0\xff', 'x'.repeat(100_000)]) {
      const [host, port] = (fleet.agents[0]?.address ?? '').split(':')
      const socket = createConnection({ host, port: Number(port) })
      await new Promise(resolve => {
        socket.on('error', resolve).on('close', resolve)
        socket.write(data, 'latin1')
        setTimeout(() => socket.destroy(), 300)
      })
    }
    assert.notEqual(await fleet.status(fleet.agents[0] as never), undefined)
  })

  it('runs a request that must not repeat once, even if its id is sent again through the other entry', async () => {
    const id = await obtainRequestId(entryAddress()) ?? ''
    const call: Call = { id, organisation: 'hall-1', address: entryAddress(), plain: { service: 'booking', method: 'POST', path: '/notices', body: '{}' }, neverRepeat: true }
    const first = await makeCall(call)
    assert.equal(first.result, 'whole', first.code)
    const again = await makeCall({ ...call, address: entryAddress(1) })
    assert.deepEqual([again.result, again.code], ['unknown', 'already-claimed'])
    const otherBody = await makeCall({ ...call, plain: { service: 'booking', method: 'POST', path: '/notices', body: '{"x":1}' } })
    assert.deepEqual([otherBody.result, otherBody.code], ['refused', 'id-conflict'])
    assert.equal(await runsOf(id), 1)
  })

  it('answers history-unknown to a caller\'s own id while its keepers have just started', async () => {
    const call: Call = { id: 'my-own-id', organisation: 'hall-1', address: entryAddress(), plain: { service: 'booking', method: 'POST', path: '/notices', body: '{}' }, neverRepeat: true }
    const record = await makeCall(call)
    assert.deepEqual([record.result, record.code], ['unknown', 'history-unknown'])
    assert.ok(record.retryAfter > 0)
    assert.equal(await runsOf('my-own-id'), 0)
  })

  it('answers operators and rejects other callers', async () => {
    const shown = await operator('show agents where pool = drafting')
    assert.equal(shown.split('\n').filter(line => line.includes('state=serving')).length, 2)
    assert.match(shown, /event=view shown=2 unseen=0 revision=1/)
    assert.match(await operator('shwo agents'), /event=mistake position=1 .*nearby=show/)
    assert.match(await operator('rollout drafting to v9'), /event=refused reason=invalid detail=".*no version v9"/)
    assert.match(await operator('drain agent-2 lasting'), /"madeFrom":1,.*"draining":\["agent-2"\]/)
    const refused = await requestHttp(entryAddress(), { method: 'POST', path: '/operator/ask', body: 'help', headers: { authorization: 'Bearer wrong' } })
    assert.equal(refused.status, 403)
  })

  it('drains an agent by order, sends it no new requests and rejects an order for another incarnation', async () => {
    assert.match(await operator('drain agent-1 incarnation agent-1.000000'), /reason=wrong-incarnation/)
    assert.match(await operator('drain agent-1'), /event=left .*lifecycle=draining/)
    assert.match(await operator('drain agent-1'), /event=left .*lifecycle=draining/, 'a repeat changes nothing')
    const records = await Promise.all(Array.from({ length: 12 }, async (_, index) => await makeCall({
      id: `after-${index}`, organisation: 'hall-1', address: entryAddress(index % 2), chat: { pool: 'drafting', prompt: `p${index}`, tokens: 4, streamed: true }
    })))
    assert.deepEqual([...new Set(records.map(record => record.result))], ['whole'])
    const { engines } = await fleet.journals()
    const drained = engines.find(engine => engine.port === fleet.member('agent-1').endpointPort)
    assert.ok(drained !== undefined, 'the engine of the drained agent is there')
    assert.deepEqual(records.filter(record => drained.journal.runs[record.id] !== undefined), [])
  })

  it('rejects an invalid configuration completely and keeps the old one', async () => {
    fleet.publish({ pools: { drafting: { model: 'none', version: 'v1', switchFraction: 1, slots: 1, originCopies: 1 } } })
    await new Promise(resolve => setTimeout(resolve, 500))
    assert.equal((await fleet.status(fleet.entries[0] as never))?.revisions.configuration, 1)
    fleet.publish(configurationOf({ organisations: organisations({ 'hall-1': 2 }) }))
    assert.ok(await fleet.waitUntil(async () => (await Promise.all(fleet.members.map(async member => await fleet.status(member)))).every(status => status?.revisions.configuration === 3), 9_000))
  })

  it('completes requests in progress before it stops', async () => {
    const call = makeCall({ id: 'long', organisation: 'hall-1', address: entryAddress(), chat: { pool: 'drafting', prompt: 'long', tokens: 100, streamed: true } })
    await new Promise(resolve => setTimeout(resolve, 200))
    fleet.signal(fleet.entries[0] as never, 'SIGTERM')
    fleet.signal(fleet.member('agent-2'), 'SIGTERM')
    assert.equal((await call).result, 'whole')
    assert.equal(await fleet.waitForExit(fleet.entries[0] as never), 0)
    assert.equal(await fleet.waitForExit(fleet.member('agent-2')), 0)
  })
})
