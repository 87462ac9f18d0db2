/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Admission control of an agent: decides which requests may start on its endpoint. It issues single-use tickets for
 * requests that must not be repeated, bounds the number of concurrent requests, and refuses every new request once the
 * agent is leaving. Each refusal is proof that the request did not run.
 */
import { openGate, type EndpointGate, type SparedFor } from './routing/choice/endpoint-gate.js'
import { joinLifecycle, type Lifecycle } from './lifecycle.js'

/** Why a request was not started. Every reason means "not run". */
export type AdmissionRefusal = 'leaving' | 'busy' | 'not-serving' | 'switching' | 'ticket-expired' | 'ticket-unknown'

/** The result of asking to run a request. */
export type Admission =
  | { readonly type: 'admitted', readonly run: number }
  | { readonly type: 'refused', readonly reason: AdmissionRefusal }

/** The result of asking for a ticket. */
export type OfferReply =
  | { readonly type: 'ready', readonly ticket: string }
  | { readonly type: 'refused', readonly reason: AdmissionRefusal }

/** The result of cancelling a ticket. `never-started` leaves a tombstone, so that the ticket cannot be used later. */
export type CancelReply = 'never-started' | 'started' | 'unknown'

interface Ticket {
  state: 'offered' | 'started' | 'dead'
  readonly expiresAt: number
}

/** How long a ticket is valid, by the agent's own clock, in milliseconds. */
export const TICKET_LIFETIME_MILLISECONDS = 2_000
/** How long the state of a ticket is kept after it expires, in milliseconds. */
const TICKET_RETENTION_MILLISECONDS = 30_000
/** The maximum number of tickets kept. At the bound, offers are refused as busy. */
const MAX_TICKETS = 8_192

/** The refusal reason for an endpoint that asked not to receive requests. */
const refusalsBySparedReason: Record<SparedFor, AdmissionRefusal> = { leaving: 'leaving', limited: 'busy', resting: 'busy', cold: 'busy' }

/** The admission control of one agent. */
export class AdmissionController {
  private readonly _tickets = new Map<string, Ticket>()
  private readonly _runs = new Set<number>()
  private _nextTicket = 1
  private _nextRun = 1
  private _lifecycle: Lifecycle = 'serving'
  private _serving = false
  private _switching = false
  private _slots: number

  /**
   * @param incarnation Identifies this run of the agent process. Tickets of another incarnation are unknown.
   * @param slots The number of requests that the endpoint runs concurrently.
   * @param _gate Tracks the endpoint's own notices and limits.
   * @param _endpoint The name of the endpoint at the gate.
   */
  constructor (readonly incarnation: string, slots: number, private readonly _gate: EndpointGate = openGate, private readonly _endpoint = '') {
    this._slots = slots
  }

  get lifecycle (): Lifecycle { return this._lifecycle }
  get running (): number { return this._runs.size }
  get slots (): number { return this._slots }
  get switching (): boolean { return this._switching }
  /** Whether the endpoint serves a complete, verified version or is a plain service. */
  get serving (): boolean { return this._serving }

  /** Moves the lifecycle forward, never back. Returns whether it changed. */
  leave (lifecycle: Lifecycle): boolean {
    const joined = joinLifecycle(this._lifecycle, lifecycle)
    const moved = joined !== this._lifecycle
    this._lifecycle = joined
    return moved
  }

  setSlots (slots: number): void { this._slots = slots }
  setServing (serving: boolean): void { this._serving = serving }
  /** While switching, no new request starts; requests in flight run to completion. */
  setSwitching (switching: boolean): void { this._switching = switching }

  /**
   * Issues a ticket for a request that must not be repeated.
   *
   * @example
   * const reply = admission.offer(now) // { type: 'ready', ticket: 'agent-1.x:1' }
   */
  offer (now: number): OfferReply {
    this._deleteExpired(now)
    const reason = this._refusalReason(now)
    if (reason !== undefined) return { type: 'refused', reason }
    if (this._tickets.size >= MAX_TICKETS) return { type: 'refused', reason: 'busy' }
    const ticket = `${this.incarnation}:${this._nextTicket++}`
    this._tickets.set(ticket, { state: 'offered', expiresAt: now + TICKET_LIFETIME_MILLISECONDS })
    return { type: 'ready', ticket }
  }

  /** Redeems a ticket. Only a valid, unused ticket of this incarnation is admitted. */
  go (ticket: string, now: number): Admission {
    const record = this._tickets.get(ticket)
    if (record === undefined || record.state !== 'offered') return { type: 'refused', reason: 'ticket-unknown' }
    if (record.expiresAt <= now) return this._invalidate(record, 'ticket-expired')
    const reason = this._refusalReason(now)
    if (reason !== undefined) return this._invalidate(record, reason)
    record.state = 'started'
    return this._start(now)
  }

  /** Starts a request that may be repeated. */
  run (now: number): Admission {
    const reason = this._refusalReason(now)
    if (reason !== undefined) return { type: 'refused', reason }
    return this._start(now)
  }

  /** Returns the state of a ticket and invalidates it if it has not been used. */
  cancel (ticket: string): CancelReply {
    const record = this._tickets.get(ticket)
    if (record === undefined) return 'unknown'
    if (record.state === 'started') return 'started'
    record.state = 'dead'
    return 'never-started'
  }

  /** Frees the slot of a run, whether it succeeded or failed. */
  finished (run: number): void { this._runs.delete(run) }

  private _start (now: number): Admission {
    this._gate.sent(this._endpoint, now)
    const run = this._nextRun++
    this._runs.add(run)
    return { type: 'admitted', run }
  }

  private _invalidate (ticket: Ticket, reason: AdmissionRefusal): Admission {
    ticket.state = 'dead'
    return { type: 'refused', reason }
  }

  private _refusalReason (now: number): AdmissionRefusal | undefined {
    if (this._lifecycle !== 'serving') return 'leaving'
    if (this._switching) return 'switching'
    if (!this._serving) return 'not-serving'
    if (this._runs.size >= this._slots) return 'busy'
    const sparedFor = this._gate.sparedFor(this._endpoint, now)
    return sparedFor === undefined ? undefined : refusalsBySparedReason[sparedFor]
  }

  private _deleteExpired (now: number): void {
    for (const [name, ticket] of this._tickets) {
      if (ticket.expiresAt + TICKET_RETENTION_MILLISECONDS > now) break
      this._tickets.delete(name)
    }
  }
}
