/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The endpoints on which an entry awaits events, and for how long they have been silent. If all of them are silent at once, the cause is
 * more likely the network path, this process or the load than one of them.
 */

/** An endpoint counts as silent after this share of the time after which an answer of it is overdue. */
const SILENT_SHARE = 0.5

/** The silent endpoints are determined again after this time, in milliseconds: all overdue answers ask at about the same time. */
const REFRESH_INTERVAL = 10

/** How many endpoints are awaited, and how many of them are silent. */
export interface SilenceCounts {
  readonly silent: number
  readonly awaited: number
}

/** An endpoint on which events are awaited. */
interface AwaitedEndpoint {
  /** When it sent the last event of any answer; the time at which it became awaited if that is later. */
  heardAt: number
  readonly answers: Set<AwaitedAnswer>
}

/** The endpoints that an entry awaits. */
export class AwaitedEndpoints {
  private readonly _endpoints = new Map<string, AwaitedEndpoint>()
  private _silent: ReadonlySet<string> = new Set()
  private _silentAt = -Infinity

  /**
   * @param _time Returns the time in milliseconds, on a clock that stands still while this process does not run.
   */
  constructor (private readonly _time: () => number) {}

  /**
   * Records that an answer is awaited.
   *
   * @param start Identifies the incarnation of its endpoint.
   * @param limit The silence after which the answer is overdue, in milliseconds.
   * @example
   * const answer = endpoints.awaitAnswer('engine-1', 900)
   * answer.heard(800)
   */
  awaitAnswer (start: string, limit: number): AwaitedAnswer {
    return new AwaitedAnswer(this._time, limit, {
      opened: answer => this._open(start, answer),
      closed: answer => this._close(start, answer),
      heard: () => this._heard(start)
    })
  }

  /** The endpoints that are silent. */
  get silent (): ReadonlySet<string> {
    const now = this._time()
    if (now - this._silentAt >= REFRESH_INTERVAL) {
      this._silent = new Set([...this._endpoints].filter(([, endpoint]) => isSilent(endpoint, now)).map(([start]) => start))
      this._silentAt = now
    }
    return this._silent
  }

  get counts (): SilenceCounts { return { silent: [...this.silent].filter(start => this._endpoints.has(start)).length, awaited: this._endpoints.size } }

  private _open (start: string, answer: AwaitedAnswer): void {
    const known = this._endpoints.get(start)
    if (known === undefined) this._endpoints.set(start, { heardAt: this._time(), answers: new Set([answer]) })
    else known.answers.add(answer)
  }

  private _close (start: string, answer: AwaitedAnswer): void {
    const known = this._endpoints.get(start)
    if (known === undefined) return
    known.answers.delete(answer)
    if (known.answers.size === 0) this._endpoints.delete(start)
  }

  private _heard (start: string): void {
    const known = this._endpoints.get(start)
    if (known !== undefined) known.heardAt = this._time()
  }
}

/** Callbacks of an answer that is awaited. */
interface AwaitedAnswerListener {
  opened (answer: AwaitedAnswer): void
  closed (answer: AwaitedAnswer): void
  heard (): void
}

/** An answer that is awaited at one endpoint. */
export class AwaitedAnswer {
  private _since: number
  private _awaited = false
  private _ended = false

  constructor (private readonly _time: () => number, private _limit: number, private readonly _listener: AwaitedAnswerListener) {
    this._since = _time()
    this._open()
  }

  /** The silence after which it is overdue, in milliseconds. */
  get limit (): number { return this._limit }
  /** For how long it has been silent, in milliseconds; 0 while it is not read. */
  get silentFor (): number { return this._awaited ? this._time() - this._since : 0 }
  /** Whether it has been silent for longer than its limit. */
  get overdue (): boolean { return this.silentFor >= this._limit }

  /**
   * Records an event.
   *
   * @param limit The limit from now on, in milliseconds.
   */
  heard (limit: number): void {
    this._limit = limit
    this._since = this._time()
    this._listener.heard()
  }

  /** Its silence does not count until it is read again. */
  pause (): void { this._close() }

  /** Its silence counts again, from now on. */
  resume (): void {
    if (this._ended || this._awaited) return
    this._since = this._time()
    this._open()
  }

  /** It is no longer awaited. */
  end (): void {
    this._ended = true
    this._close()
  }

  private _open (): void {
    this._awaited = true
    this._listener.opened(this)
  }

  private _close (): void {
    if (!this._awaited) return
    this._awaited = false
    this._listener.closed(this)
  }
}

/** What other answers of the endpoint delivered shows that it is alive. */
function isSilent ({ heardAt, answers }: AwaitedEndpoint, now: number): boolean {
  return [...answers].some(({ silentFor, limit }) => Math.min(silentFor, now - heardAt) >= SILENT_SHARE * limit)
}
