/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * A batching engine in virtual time that follows the users' published description of theirs. It runs passes; each admits
 * waiting requests, prefills prompts up to a token limit, and generates some tokens for every request whose prompt has been read.
 */
import { prefillRate, stepTime, type EngineWork, type PoolDescription } from '@drumdrift/core'
import type { VirtualTime } from './virtual-time.js'

/** A request at an engine. */
export interface EngineJob {
  readonly promptTokens: number
  readonly answerTokens: number
  /** The order in the queue, the least first; in order of arrival among equals. */
  readonly urgency?: number | undefined
  /** When the caller gives up, in virtual time; the engine then drops the request. */
  readonly deadline?: number | undefined
  readonly onFirstToken: () => void
  readonly onEnd: () => void
}

interface RunningJob {
  readonly job: EngineJob
  unread: number
  left: number
}

/** The urgency of a request that names none. */
const DEFAULT_URGENCY = 5

/** A simulated engine with continuous batching. */
export class VirtualEngine {
  private readonly _waiting: EngineJob[] = []
  private _running: RunningJob[] = []
  private _busy = false
  /** Whether the engine accepts new requests. */
  accepting = true

  /** @param _maxWaiting The length of the queue beyond which requests are rejected. */
  constructor (private readonly _pool: PoolDescription, private readonly _time: VirtualTime, private readonly _maxWaiting = Infinity) {}

  /** Queues a request. Returns false if the engine does not accept requests. */
  send (job: EngineJob): boolean {
    if (!this.accepting || this._waiting.length >= this._maxWaiting) return false
    const position = this._waiting.findIndex(other => (other.urgency ?? DEFAULT_URGENCY) > (job.urgency ?? DEFAULT_URGENCY))
    this._waiting.splice(position < 0 ? this._waiting.length : position, 0, job)
    if (!this._busy) this._startPass()
    return true
  }

  /** The load that the engine reports. Requests count as running from their admission on, as in the users' engines. */
  reportedLoad (): { running: number, waiting: number, contextTokens: number } {
    const contextTokens = this._running.reduce((sum, { job, left }) => sum + job.promptTokens + job.answerTokens - left, 0)
    return { running: this._running.length, waiting: this._waiting.length, contextTokens }
  }

  /** The exact remaining work, which is not visible outside the engine. */
  remainingWork (): EngineWork {
    const unread = this._running.filter(each => each.unread > 0)
    return {
      running: this._running.length - unread.length,
      waiting: this._waiting.length + unread.length,
      waitingTokens: this._waiting.reduce((sum, job) => sum + job.promptTokens, 0) + unread.reduce((sum, each) => sum + each.unread, 0)
    }
  }

  private _startPass (): void {
    this._admit()
    this._busy = this._running.length > 0
    if (!this._busy) return
    const generating = this._running.filter(({ unread }) => unread === 0)
    const prefilling = this._running.filter(({ unread }) => unread > 0)
    const steps = generating.length > 0 ? this._pool.stride : 1
    const read = readPrompts(prefilling, this._pool.promptTokensPerStep * steps)
    const duration = read / prefillRate(this._pool) + steps * stepTime(this._pool, generating.length)
    this._time.after(duration, () => this._endPass(generating, prefilling))
  }

  private _isDue ({ deadline }: EngineJob): boolean { return deadline !== undefined && deadline <= this._time.now }

  private _admit (): void {
    while (this._running.length < this._pool.slots) {
      const job = this._waiting.shift()
      if (job === undefined) return
      if (this._isDue(job)) continue
      this._running.push({ job, unread: job.promptTokens, left: job.answerTokens })
    }
  }

  private _endPass (generating: readonly RunningJob[], prefilling: readonly RunningJob[]): void {
    for (const request of generating) request.left = Math.max(0, request.left - this._pool.stride)
    const ended = this._running.filter(({ unread, left }) => unread === 0 && left === 0)
    this._running = this._running.filter(running => !ended.includes(running) && !this._isDue(running.job))
    for (const { job } of prefilling.filter(({ unread }) => unread === 0)) job.onFirstToken()
    for (const { job } of ended) job.onEnd()
    this._startPass()
  }
}

/** Prefills prompts in the order of their admission. Returns the number of tokens read. */
function readPrompts (prefilling: readonly RunningJob[], maxTokens: number): number {
  let remaining = maxTokens
  for (const request of prefilling) {
    const read = Math.min(remaining, request.unread)
    request.unread -= read
    remaining -= read
  }
  return maxTokens - remaining
}
