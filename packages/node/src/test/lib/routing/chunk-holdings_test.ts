/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { afterEach, describe, it } from 'node:test'
import type { PeerReply } from '@drumdrift/core'
import type { PeerConnection, Responder } from '../../../lib/peer/connection.js'
import { HoldingsPublisher } from '../../../lib/routing/chunk-holdings.js'

describe('HoldingsPublisher', () => {
  let publisher: HoldingsPublisher | undefined
  afterEach(() => publisher?.close())

  /** Follows versions over one connection, one after the other; then all of them hold one chunk more. */
  async function heard (identities: readonly string[]): Promise<Map<string, readonly number[]>> {
    let more = false
    publisher = new HoldingsPublisher(() => more ? [1, 2] : [1])
    const told = new Map<string, readonly number[]>()
    const connection = { open: true, onEnd: () => {} } as unknown as PeerConnection
    const send = (reply: PeerReply): void => { if (reply.type === 'chunks') told.set(reply.identity, reply.held) }
    for (const identity of identities) publisher.follow(identity, { connection, send } as unknown as Responder)
    more = true
    await new Promise(resolve => setTimeout(resolve, 150))
    return told
  }

  const cases: [name: string, identities: readonly string[], expected: Readonly<Record<string, readonly number[]>>][] = [
    ['what is held at first, then what came', ['m@2'], { 'm@2': [2] }],
    ['two versions over one connection', ['m@2', 'm@3'], { 'm@2': [2], 'm@3': [2] }],
    ['no more than three, the newest ones', ['m@1', 'm@2', 'm@3', 'm@4'], { 'm@1': [1], 'm@2': [2], 'm@3': [2], 'm@4': [2] }],
    ['all of a version again to one that asks again', ['m@2', 'm@2'], { 'm@2': [2] }]
  ]
  for (const [name, identities, expected] of cases) {
    it(`tells ${name}`, async () => assert.deepEqual(Object.fromEntries(await heard(identities)), expected))
  }
})
