/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Fetches one chunk from a peer. The peer may send keepalives while the chunk is queued, then sends the bytes or a refusal. */
import type { PeerReply } from '@drumdrift/core'
import type { PeerConnection } from '../peer/connection.js'
import type { PeerPool } from '../peer/pool.js'

/** The bytes of a chunk, or the reason why a peer did not send them. */
export type PeerChunkResult = Buffer | 'unreachable' | 'not-yet' | 'not-held' | 'timed-out'

/** A request for one chunk. */
export interface ChunkRequest {
  readonly address: string
  readonly digest: string
  /** Milliseconds that the peer may wait until it receives the chunk itself. */
  readonly wait: number
  readonly signal: AbortSignal
  /** Called for each keepalive: the peer has the chunk queued or waits for it. */
  readonly onPending: () => void
  /** Called with the connection that the chunk is requested over. */
  readonly onConnection: (connection: PeerConnection) => void
}

/**
 * Fetches a chunk. Has no timeout of its own: the transfer aborts it by the signal.
 *
 * @example
 * const chunk = await fetchChunk(pool, { address, digest, wait: 1_000, signal, onPending: () => {}, onConnection: () => {} })
 */
export async function fetchChunk (pool: PeerPool, { address, digest, wait, signal, onPending, onConnection }: ChunkRequest): Promise<PeerChunkResult> {
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
        if (reply.type === 'chunk-coming') onPending()
        else finish(readReply(reply, payload))
      },
      lost: () => finish('unreachable')
    })
    const finish = (chunk: PeerChunkResult): void => {
      connection.forget(call)
      signal.removeEventListener('abort', abandon)
      resolve(chunk)
    }
    const abandon = (): void => finish('timed-out')
    signal.addEventListener('abort', abandon)
  })
}

function readReply (reply: PeerReply, payload: Buffer): PeerChunkResult {
  if (reply.type === 'chunk') return payload
  return reply.type === 'no-chunk' && reply.reason === 'not-held' ? 'not-held' : 'not-yet'
}
