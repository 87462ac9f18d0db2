/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Frames between the system's processes: two 32-bit big-endian lengths, a cbor body, and a raw payload that never goes
 * through the codec, so that chunks of weights are not copied more than the socket does.
 */
import { Encoder } from 'cbor-x'
import { DrumdriftError, type PeerReply, type PeerRequest } from '@drumdrift/core'

/** Bytes of the two lengths. */
const HEADER_BYTES = 8
/** The largest body: a published document of a megabyte with room for its envelope. */
const LARGEST_BODY = 4 * 1024 * 1024
/** The largest payload: a chunk, or the body of a request. */
const LARGEST_PAYLOAD = 64 * 1024 * 1024

/**
 * Keys that messages often have, written as their place in this list. Reports of load are nine in ten of all messages; one of
 * them takes 55 bytes so, and 141 with its keys in full. Both sides must have the same list: a change of it is a change of the
 * protocol.
 */
const FREQUENT_KEYS = [
  'call', 'request', 'reply', 'type', 'load', 'running', 'waiting', 'unreadTokens', 'version', 'accepting', 'pace', 'closesIn', 'opensIn', 'sentRate', 'identity', 'held', 'elsewhere', 'named', 'model', 'revision', 'age', 'digest', 'wait'
]
const codec = new Encoder({ keyMap: Object.fromEntries(FREQUENT_KEYS.map((key, place) => [key, place])), useRecords: false })

/** One message of a connection. Calls are numbered by the side that asks. */
export type PeerEnvelope =
  | { readonly call: number, readonly request: PeerRequest }
  | { readonly call: number, readonly reply: PeerReply }

/** A decoded frame. */
export interface Frame {
  readonly envelope: PeerEnvelope
  readonly payload: Buffer
  /** Bytes of the frame without its payload. */
  readonly overhead: number
}

const nothing = Buffer.alloc(0)

/**
 * Encodes a frame as buffers to be written in order; one buffer without a payload, since most messages have none and each buffer
 * is a write.
 *
 * @example
 * for (const part of encodeFrame({ call: 1, request: { type: 'status' } })) socket.write(part)
 */
export function encodeFrame (envelope: PeerEnvelope, payload: Buffer = nothing): Buffer[] {
  const body = codec.encode(envelope)
  const head = Buffer.allocUnsafe(HEADER_BYTES + body.length)
  head.writeUInt32BE(body.length, 0)
  head.writeUInt32BE(payload.length, 4)
  body.copy(head, HEADER_BYTES)
  return payload.length > 0 ? [head, payload] : [head]
}

/** Cuts a byte stream into frames. Malformed or oversized input throws a typed failure; the connection is then closed. */
export class FrameReader {
  private _pieces: Buffer[] = []
  private _held = 0

  /**
   * Takes bytes and returns the frames that they complete.
   *
   * @throws DrumdriftError with a peer failure of reason `malformed` or `oversized`.
   */
  push (bytes: Buffer): Frame[] {
    this._pieces.push(bytes)
    this._held += bytes.length
    const frames: Frame[] = []
    for (;;) {
      const frame = this._next()
      if (frame === undefined) return frames
      frames.push(frame)
    }
  }

  private _next (): Frame | undefined {
    if (this._held < HEADER_BYTES) return undefined
    const header = this._peek(HEADER_BYTES)
    const bodyLength = header.readUInt32BE(0)
    const payloadLength = header.readUInt32BE(4)
    if (bodyLength > LARGEST_BODY || payloadLength > LARGEST_PAYLOAD) throw peerError('oversized', `frame of ${bodyLength} + ${payloadLength} bytes`)
    if (this._held < HEADER_BYTES + bodyLength + payloadLength) return undefined
    this._take(HEADER_BYTES)
    const envelope = decodeEnvelope(this._take(bodyLength))
    return { envelope, payload: this._take(payloadLength), overhead: HEADER_BYTES + bodyLength }
  }

  /** The first bytes, without taking them. */
  private _peek (length: number): Buffer {
    const first = this._pieces[0] ?? nothing
    if (first.length >= length) return first
    this._pieces = [Buffer.concat(this._pieces)]
    return this._pieces[0] ?? nothing
  }

  private _take (length: number): Buffer {
    this._held -= length
    const taken: Buffer[] = []
    let missing = length
    while (missing > 0) {
      const piece = this._pieces.shift() ?? nothing
      if (piece.length > missing) this._pieces.unshift(piece.subarray(missing))
      const part = piece.subarray(0, missing)
      taken.push(part)
      missing -= part.length
    }
    const [only] = taken
    return taken.length === 1 && only !== undefined ? only : Buffer.concat(taken, length)
  }
}

/**
 * An error that carries a peer failure.
 *
 * @example
 * throw peerError('timed-out', 'no reply within 500 ms')
 */
export function peerError (reason: 'malformed' | 'oversized' | 'protocol-version' | 'wrong-key' | 'connection-lost' | 'timed-out' | 'refused', detail: string): DrumdriftError {
  return new DrumdriftError({ type: 'peer-failure', reason, detail })
}

function decodeEnvelope (body: Buffer): PeerEnvelope {
  let value: unknown
  try {
    value = codec.decode(body)
  } catch {
    throw peerError('malformed', 'body is not cbor')
  }
  if (!isEnvelope(value)) throw peerError('malformed', 'body is not a message')
  return value
}

function isEnvelope (value: unknown): value is PeerEnvelope {
  if (typeof value !== 'object' || value === null) return false
  const candidate = value as { call?: unknown, request?: { type?: unknown }, reply?: { type?: unknown } }
  if (typeof candidate.call !== 'number') return false
  return typeof candidate.request?.type === 'string' || typeof candidate.reply?.type === 'string'
}
