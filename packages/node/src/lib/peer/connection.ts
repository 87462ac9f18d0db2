/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * A TCP connection between two processes of the system. Either side may send requests. Replies are matched to their call
 * by number, so a late reply cannot reach another call.
 */
import type { Socket } from 'node:net'
import type { PeerReply, PeerRequest } from '@drumdrift/core'
import { failureOf } from '@drumdrift/core'
import { IoTimeout } from '../io-timeout.js'
import { SilenceTimeout } from '../silence-timeout.js'
import { encodeFrame, FrameReader, peerError, type Frame } from './frame.js'

/** A reply with its payload. */
export interface Reply {
  readonly reply: PeerReply
  readonly payload: Buffer
}

/** Receives the replies of one call, in order of arrival. */
export interface ReplyListener {
  reply (reply: PeerReply, payload: Buffer): void
  /** Called if the connection ends before the call does. */
  lost (): void
}

/** Sends the replies to one request of the other side. */
export interface Responder {
  readonly connection: PeerConnection
  readonly call: number
  send (reply: PeerReply, payload?: Buffer): void
}

/** Handles a request of the other side. */
export type RequestHandler = (request: PeerRequest, payload: Buffer, responder: Responder) => void

/** Bytes of messages without their payloads, which measure the network cost of control traffic. */
export interface Traffic {
  sent: number
  received: number
}

/** Paces reading, to keep a process within its share of the link. */
export interface ReadPacer {
  /** Records received bytes and returns for how many milliseconds to pause reading. */
  received (bytes: number): number
}

/** How long a connection waits for the other side to close it after its last byte was sent, in milliseconds. */
const LINGER_TIMEOUT = 1_000

/** One end of a connection, on the side that opened it or on the side that accepted it. */
export class PeerConnection {
  private readonly _reader = new FrameReader('hello')
  private readonly _listeners = new Map<number, ReplyListener>()
  private readonly _endListeners = new Set<() => void>()
  private _nextCallNumber = 1
  private _open = true
  /** Whether nothing more is sent. */
  private _ending = false
  private _lastReceivedAt = performance.now()
  private _pausedUntil = 0

  /**
   * @param _onRequest Handles requests of the other side.
   * @param _onMalformed Called once on malformed input, before the connection is closed.
   * @param _traffic Accumulates the bytes of messages in both directions.
   * @param _pacer Paces reading; without it, reading is never paused.
   */
  constructor (
    private readonly _socket: Socket,
    private readonly _onRequest: RequestHandler,
    private readonly _onMalformed: (detail: string) => void,
    private readonly _traffic: Traffic,
    private readonly _pacer?: ReadPacer
  ) {
    _socket.setNoDelay(true)
    _socket.on('data', bytes => this._read(bytes))
    _socket.on('error', () => this.close())
    _socket.on('close', () => this.close())
  }

  get open (): boolean { return this._open }
  /**
   * Milliseconds since the last contact with the other side. Time during which this side paused reading does not count,
   * because the delay is then its own.
   */
  timeSinceContact (now: number): number {
    return Math.max(0, now - Math.max(this._lastReceivedAt, this._pausedUntil))
  }

  /** Accepts large frames from now on, since the other side has shown the key. */
  authenticated (): void { this._reader.acceptAll() }

  /** Whether calls of this side are in flight. */
  get busy (): boolean { return this._listeners.size > 0 }
  /** Bytes that are buffered because the other side has not read them yet. */
  get backlog (): number { return this._socket.writableLength }

  /**
   * Sends a request that may have any number of replies.
   *
   * @returns The number of the call, for `forget` and for a hang-up.
   */
  ask (request: PeerRequest, payload: Buffer | undefined, listener: ReplyListener): number {
    const call = this._nextCallNumber++
    if (!this._open) {
      queueMicrotask(() => listener.lost())
      return call
    }
    this._listeners.set(call, listener)
    this._write({ call, request }, payload)
    return call
  }

  /**
   * Sends a request and resolves with its first reply.
   *
   * @param timeout Milliseconds until the call fails.
   *
   * @throws DrumdriftError with a peer failure of reason `timed-out` or `connection-lost`.
   * @example
   * const { reply } = await connection.call({ type: 'status' }, undefined, 500)
   */
  call (request: PeerRequest, payload: Buffer | undefined, timeout: number): Promise<Reply> {
    return new Promise((resolve, reject) => {
      const call = this.ask(request, payload, {
        reply: (reply, bytes) => { finish(() => resolve({ reply, payload: bytes })) },
        lost: () => { finish(() => reject(peerError('connection-lost', 'connection lost'))) }
      })
      const silence = new SilenceTimeout(() => finish(() => reject(peerError('timed-out', `no reply within ${timeout} ms`))), timeout)
      const finish = (settle: () => void): void => {
        silence.cancel()
        this.forget(call)
        settle()
      }
    })
  }

  /** Sends a request without waiting for a reply. */
  notify (request: PeerRequest): void {
    this._write({ call: this._nextCallNumber++, request }, undefined)
  }

  /** Ends a call. Later replies to it are dropped. */
  forget (call: number): void { this._listeners.delete(call) }

  /** Adds a listener for the end of the connection. Returns a function that removes it. */
  onEnd (listener: () => void): () => void {
    this._endListeners.add(listener)
    return () => { this._endListeners.delete(listener) }
  }

  /**
   * Closes the connection once all messages are sent. Later messages of this side are dropped.
   *
   * @example
   * await connection.closeWhenSent()
   */
  closeWhenSent (): Promise<void> {
    return new Promise(resolve => {
      if (!this._open) return resolve()
      this._ending = true
      this._socket.end(() => {
        const timeout = new IoTimeout(() => this.close(), LINGER_TIMEOUT)
        this.onEnd(() => timeout.cancel())
      })
      this.onEnd(resolve)
    })
  }

  /** Closes the connection at once. */
  close (): void {
    if (!this._open) return
    this._open = false
    this._socket.destroy()
    const listeners = [...this._listeners.values()]
    this._listeners.clear()
    for (const listener of listeners) listener.lost()
    for (const listener of this._endListeners) listener()
    this._endListeners.clear()
  }

  private _write (envelope: Parameters<typeof encodeFrame>[0], payload: Buffer | undefined): void {
    if (!this._open || this._ending) return
    const parts = encodeFrame(envelope, payload)
    if (parts.length > 1) this._socket.cork()
    for (const part of parts) this._socket.write(part)
    if (parts.length > 1) this._socket.uncork()
    this._traffic.sent += parts.reduce((sum, part) => sum + part.length, 0) - (payload?.length ?? 0)
  }

  private _read (bytes: Buffer): void {
    this._lastReceivedAt = performance.now()
    this._pace(bytes.length)
    let frames: Frame[]
    try {
      frames = this._reader.push(bytes)
    } catch (error) {
      const failure = failureOf(error)
      this._onMalformed('detail' in failure ? failure.detail : failure.type)
      this.close()
      return
    }
    for (const frame of frames) {
      this._traffic.received += frame.overhead
      this._handle(frame)
    }
  }

  private _pace (bytes: number): void {
    const wait = this._pacer?.received(bytes) ?? 0
    if (wait <= 0) return
    this._pausedUntil = this._lastReceivedAt + wait
    this._socket.pause()
    setTimeout(() => this._socket.resume(), wait)
  }

  private _handle ({ envelope, payload }: Frame): void {
    if ('reply' in envelope) {
      this._listeners.get(envelope.call)?.reply(envelope.reply, payload)
      return
    }
    const call = envelope.call
    const send = (reply: PeerReply, bytes?: Buffer): void => this._write({ call, reply }, bytes)
    this._onRequest(envelope.request, payload, { connection: this, call, send })
  }
}
