/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { failureOf, type PeerReply } from '@drumdrift/core'
import { encodeFrame, FrameReader, type PeerEnvelope } from '../../lib/peer/frame.js'

const messages: { envelope: PeerEnvelope, payload: Buffer }[] = [
  { envelope: { call: 1, request: { type: 'status' } }, payload: Buffer.alloc(0) },
  { envelope: { call: 2, reply: { type: 'chunk', digest: 'd' } }, payload: Buffer.alloc(100_000, 7) },
  { envelope: { call: 3, request: { type: 'chunk', digest: 'd', wait: 5 } }, payload: Buffer.from('x') },
  { envelope: { call: 4, reply: { type: 'head', head: { status: 200, headers: { type: 'a key that is frequent', 1: 'one that is a number', other: 'one that is neither' }, version: '' } } }, payload: Buffer.alloc(0) }
]
const stream = Buffer.concat(messages.flatMap(({ envelope, payload }) => encodeFrame(envelope, payload)))

describe('FrameReader', () => {
  for (const size of [1, 3, 7, 64, 4_096, 200_000]) {
    it(`decodes frames that arrive ${size} bytes at a time`, () => {
      const reader = new FrameReader()
      const frames = []
      for (let start = 0; start < stream.length; start += size) frames.push(...reader.push(stream.subarray(start, start + size)))
      assert.deepEqual(frames.map(frame => frame.envelope), messages.map(message => message.envelope))
      assert.ok(frames.every((frame, index) => frame.payload.equals(messages[index]?.payload ?? Buffer.alloc(0))))
    })
  }

  it('encodes a load report in fewer bytes than its keys alone would take', () => {
    const load = { running: 9, waiting: 0, unreadTokens: 1_834, version: 1, accepting: true, pace: 1, sentRate: 0.07, entries: 98 }
    const frame = Buffer.concat(encodeFrame({ call: 1, reply: { type: 'load', load } }))
    const keys = ['call', 'reply', 'type', 'load', ...Object.keys(load)].join('').length
    assert.ok(frame.length > 0 && frame.length < keys, `${frame.length} is not below ${keys}`)
  })

  it('encodes a message without a payload as one buffer, and does not copy a payload', () => {
    const payload = Buffer.alloc(100_000)
    assert.equal(encodeFrame({ call: 1, request: { type: 'status' } }).length, 1)
    assert.equal(encodeFrame({ call: 1, request: { type: 'status' } }, payload)[1], payload)
  })

  // Guards against a shared encoding that leaks the call or the content of the previous receiver.
  it('encodes a reply that is sent to several calls for each of them, and another reply anew', () => {
    const first: PeerReply = { type: 'refused', reason: 'not-supported', detail: 'first' }
    const second: PeerReply = { type: 'refused', reason: 'not-supported', detail: 'second' }
    const sent = [1, 24, 70_000, 2 ** 33].map(call => ({ call, reply: first })).concat([{ call: 5, reply: second }, { call: 6, reply: first }])
    const frames = new FrameReader().push(Buffer.concat(sent.flatMap(envelope => encodeFrame(envelope))))
    assert.deepEqual(frames.map(({ envelope }) => envelope), sent)
  })

  const header = (body: number, payload: number): Buffer => {
    const bytes = Buffer.alloc(8)
    bytes.writeUInt32BE(body, 0)
    bytes.writeUInt32BE(payload, 4)
    return bytes
  }
  const bad: [name: string, bytes: Buffer, reason: string][] = [
    ['an oversized body', header(2 ** 31, 0), 'oversized'],
    ['an oversized payload', header(1, 2 ** 31), 'oversized'],
    ['bytes that are not CBOR', Buffer.concat([header(4, 0), Buffer.from([0xff, 0xff, 0xff, 0xff])]), 'malformed'],
    ['CBOR that is not a message', Buffer.concat([header(1, 0), Buffer.from([0x01])]), 'malformed'],
    ['a message without a call', Buffer.concat([header(1, 0), Buffer.from([0xa0])]), 'malformed'],
    ['HTTP', Buffer.from('GET / HTTP/1.1\r\nhost: x\r\n\r\n'), 'oversized']
  ]
  for (const [name, bytes, reason] of bad) {
    it(`refuses ${name}`, () => {
      try {
        new FrameReader().push(bytes)
        assert.fail('the input was accepted')
      } catch (error) {
        const failure = failureOf(error)
        assert.equal(failure.type === 'peer-failure' ? failure.reason : failure.type, reason)
      }
    })
  }
})
