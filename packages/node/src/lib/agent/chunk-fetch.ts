/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Fetches one chunk from a peer: any number of signs that it waits in the peer's queue, then the bytes or a refusal. */
import type { PeerReply } from '@drumdrift/core'
import type { PeerConnection } from '../peer/connection.js'
import type { PeerPool } from '../peer/pool.js'

/** What a peer gave. */
export type PeerChunk = Buffer | 'unreachable' | 'not-yet' | 'not-held' | 'timed-out'

/** What to fetch. */
export interface ChunkRequest {
  readonly address: string
  readonly digest: string
  /** Milliseconds that the peer may wait for the chunk to reach itself. */
  readonly wait: number
  readonly signal: AbortSignal
  /** The peer will send the chunk, now or later. */
  readonly onComing: () => void
  /** Told of the connection that the chunk is to come over. */
  readonly onConnection: (connection: PeerConnection) => void
}

/**
 * Fetches a chunk. It has no time limit of its own: the transfer abandons it by the signal.
 *
 * @example
 * const chunk = await fetchChunk(pool, { address, digest, wait: 1_000, signal, onComing: () => {}, onConnection: () => {} })
 */
export async function fetchChunk (pool: PeerPool, { address, digest, wait, signal, onComing, onConnection }: ChunkRequest): Promise<PeerChunk> {
  let connection
  try {
    connection = await pool.connection(address, { purpose: 'bulk' })
  } catch {
    return 'unreachable'
  }
  if (signal.aborted) return 'timed-out'
  onConnection(connection)
  return await new Promise(resolve => {
    const call = connection.ask({ type: 'chunk', digest, wait }, undefined, {
      reply: (reply, payload) => {
        if (reply.type === 'chunk-coming') onComing()
        else finish(readReply(reply, payload))
      },
      lost: () => finish('unreachable')
    })
    const finish = (chunk: PeerChunk): void => {
      connection.forget(call)
      signal.removeEventListener('abort', abandon)
      resolve(chunk)
    }
    const abandon = (): void => finish('timed-out')
    signal.addEventListener('abort', abandon)
  })
}

function readReply (reply: PeerReply, payload: Buffer): PeerChunk {
  if (reply.type === 'chunk') return payload
  return reply.type === 'no-chunk' && reply.reason === 'not-held' ? 'not-held' : 'not-yet'
}
