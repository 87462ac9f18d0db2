/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The frame format between the system's processes: two 32-bit big-endian lengths, a CBOR body, and a raw payload. The
 * payload bypasses the codec, so that chunks of weights are not copied beyond what the socket does.
 */
import { Encoder } from 'cbor-x'
import { DrumdriftError, type PeerReply, type PeerRequest } from '@drumdrift/core'

/** Size of the two lengths. */
const HEADER_BYTES = 8
/**
 * The largest parts of a frame, in bytes. Before the other side has shown the key, they fit a hello and the reply to it. Afterwards, the
 * body fits a published document of a megabyte and its envelope, and the payload a chunk or the body of a request.
 */
const maxBytes = {
  hello: { body: 16 * 1024, payload: 0 },
  all: { body: 4 * 1024 * 1024, payload: 64 * 1024 * 1024 }
} as const

/**
 * Frequent keys of messages, each encoded as its index in this list. Nine in ten messages are load reports, which take 55 bytes
 * this way and 141 bytes with full keys. Both sides must use the same list, so changing it changes the protocol.
 */
const FREQUENT_KEYS = [
  'call', 'request', 'reply', 'type', 'load', 'running', 'waiting', 'unreadTokens', 'version', 'accepting', 'pace', 'closesIn', 'opensIn', 'sentRate', 'identity', 'held', 'elsewhere', 'named', 'model', 'revision', 'age', 'digest', 'wait'
]
const codec = new Encoder({ keyMap: Object.fromEntries(FREQUENT_KEYS.map((key, index) => [key, index])), useRecords: false })

/** One message of a connection. The side that sends a request numbers the call. */
export type PeerEnvelope =
  | { readonly call: number, readonly request: PeerRequest }
  | { readonly call: number, readonly reply: PeerReply }

/** A decoded frame. */
export interface Frame {
  readonly envelope: PeerEnvelope
  readonly payload: Buffer
  /** Size of the frame without its payload, in bytes. */
  readonly overhead: number
}

const emptyBuffer = Buffer.alloc(0)

/**
 * Encodes a frame as buffers to be written in order. A frame without a payload, as most are, is a single buffer, since each
 * buffer takes a write.
 *
 * @example
 * for (const part of encodeFrame({ call: 1, request: { type: 'status' } })) socket.write(part)
 */
export function encodeFrame (envelope: PeerEnvelope, payload: Buffer = emptyBuffer): Buffer[] {
  if ('reply' in envelope && payload.length === 0) return [encodeReplyFrame(envelope.call, envelope.reply)]
  const body = codec.encode(envelope)
  const head = Buffer.allocUnsafe(HEADER_BYTES + body.length)
  head.writeUInt32BE(body.length, 0)
  head.writeUInt32BE(payload.length, 4)
  body.copy(head, HEADER_BYTES)
  return payload.length > 0 ? [head, payload] : [head]
}

/** The start of the body of a reply's frame: a map of two entries, of which the first key is that of `call`. */
const replyBodyStart = Buffer.from([0xb9, 0, 2, FREQUENT_KEYS.indexOf('call')])
const replyKey = Buffer.from([FREQUENT_KEYS.indexOf('reply')])
/** The last reply without a payload and its encoding: a load report goes to every follower, with another call for each. */
let lastReply: PeerReply | undefined
let lastEncoded: Buffer = emptyBuffer

/** Encodes the frame of a reply without a payload, as the codec would, with the encoding of the same reply to another call. */
function encodeReplyFrame (call: number, reply: PeerReply): Buffer {
  if (reply !== lastReply) {
    lastEncoded = Buffer.from(codec.encode(reply))
    lastReply = reply
  }
  const number = codec.encode(call)
  const bodyLength = replyBodyStart.length + number.length + replyKey.length + lastEncoded.length
  const frame = Buffer.allocUnsafe(HEADER_BYTES + bodyLength)
  frame.writeUInt32BE(bodyLength, 0)
  frame.writeUInt32BE(0, 4)
  let at = HEADER_BYTES
  for (const part of [replyBodyStart, number, replyKey, lastEncoded]) {
    frame.set(part, at)
    at += part.length
  }
  return frame
}

/** Splits a byte stream into frames. Throws a typed failure on malformed or oversized input, upon which the connection is to be closed. */
export class FrameReader {
  private _buffers: Buffer[] = []
  private _bufferedBytes = 0

  /**
   * @param _accepted Which frames are accepted: those of the hello, which are small, or all.
   */
  constructor (private _accepted: 'hello' | 'all' = 'all') {}

  /** Accepts all frames from now on. */
  acceptAll (): void { this._accepted = 'all' }

  /**
   * Adds received bytes and returns the frames that they complete.
   *
   * @throws DrumdriftError with a peer failure of reason `malformed` or `oversized`.
   */
  push (bytes: Buffer): Frame[] {
    this._buffers.push(bytes)
    this._bufferedBytes += bytes.length
    const frames: Frame[] = []
    for (;;) {
      const frame = this._next()
      if (frame === undefined) return frames
      frames.push(frame)
    }
  }

  private _next (): Frame | undefined {
    if (this._bufferedBytes < HEADER_BYTES) return undefined
    const header = this._peek(HEADER_BYTES)
    const bodyLength = header.readUInt32BE(0)
    const payloadLength = header.readUInt32BE(4)
    const { body, payload } = maxBytes[this._accepted]
    if (bodyLength > body || payloadLength > payload) throw peerError('oversized', `frame of ${bodyLength} + ${payloadLength} bytes`)
    if (this._bufferedBytes < HEADER_BYTES + bodyLength + payloadLength) return undefined
    this._consume(HEADER_BYTES)
    const envelope = decodeEnvelope(this._consume(bodyLength))
    return { envelope, payload: this._consume(payloadLength), overhead: HEADER_BYTES + bodyLength }
  }

  /** Returns at least `length` bytes of the buffer without consuming them. */
  private _peek (length: number): Buffer {
    const first = this._buffers[0] ?? emptyBuffer
    if (first.length >= length) return first
    this._buffers = [Buffer.concat(this._buffers)]
    return this._buffers[0] ?? emptyBuffer
  }

  private _consume (length: number): Buffer {
    this._bufferedBytes -= length
    const taken: Buffer[] = []
    let missing = length
    let used = 0
    while (missing > 0) {
      const piece = this._buffers[used] ?? emptyBuffer
      const part = piece.subarray(0, missing)
      taken.push(part)
      missing -= part.length
      if (part.length < piece.length) this._buffers[used] = piece.subarray(part.length)
      else used += 1
    }
    // Removes them at once: to shift each of many pieces takes quadratic time.
    this._buffers.splice(0, used)
    const [only] = taken
    return taken.length === 1 && only !== undefined ? only : Buffer.concat(taken, length)
  }
}

/**
 * Creates an error with a peer failure.
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
    throw peerError('malformed', 'body is not valid CBOR')
  }
  if (!isEnvelope(value)) throw peerError('malformed', 'body is not a peer message')
  return value
}

function isEnvelope (value: unknown): value is PeerEnvelope {
  if (typeof value !== 'object' || value === null) return false
  const candidate = value as { call?: unknown, request?: { type?: unknown }, reply?: { type?: unknown } }
  if (typeof candidate.call !== 'number') return false
  return typeof candidate.request?.type === 'string' || typeof candidate.reply?.type === 'string'
}
