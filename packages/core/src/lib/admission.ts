/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * An agent's door: what may start on its endpoint. It hands out one-use tickets for requests that may not repeat,
 * bounds what runs at once, and refuses everything new once the agent is leaving. Each refusal given here is proof
 * that the request did not run.
 */
import { openGate, type EndpointGate, type SparedFor } from './routing/choice/endpoint-gate.js'
import { joinLifecycle, type Lifecycle } from './lifecycle.js'

/** Why nothing was started. All of these mean "not run". */
export type AdmissionRefusal = 'leaving' | 'busy' | 'not-serving' | 'switching' | 'ticket-expired' | 'ticket-unknown'

/** The answer to a wish to run. */
export type Admission =
  | { readonly type: 'admitted', readonly run: number }
  | { readonly type: 'refused', readonly reason: AdmissionRefusal }

/** The answer to an offer. */
export type OfferReply =
  | { readonly type: 'ready', readonly ticket: string }
  | { readonly type: 'refused', readonly reason: AdmissionRefusal }

/** What a cancel found. `never-started` leaves a tombstone: the ticket can not be used any more. */
export type CancelReply = 'never-started' | 'started' | 'unknown'

interface Ticket {
  state: 'offered' | 'started' | 'dead'
  readonly expiresAt: number
}

/** How long a ticket may be used, by the agent's own clock, in milliseconds. */
export const TICKET_LIFETIME = 2_000
/** How long the fate of a ticket is remembered. */
const TICKET_MEMORY = 30_000
/** Tickets remembered at most; at the bound offers are refused as busy. */
const TICKET_LIMIT = 8_192

/** What callers are told of an endpoint that is sent nothing because it asks for it. */
const refusalsOfSpared: Record<SparedFor, AdmissionRefusal> = { leaving: 'leaving', limited: 'busy', resting: 'busy' }

/** The door of one agent. */
export class AdmissionDoor {
  private readonly _tickets = new Map<string, Ticket>()
  private readonly _runs = new Set<number>()
  private _nextTicket = 1
  private _nextRun = 1
  private _lifecycle: Lifecycle = 'serving'
  private _serving = false
  private _switching = false
  private _slots: number

  /**
   * @param incarnation Names this start of the agent: tickets of another one are unknown here.
   * @param slots Requests that the endpoint runs at once.
   * @param _gate What the endpoint asks of this door, by its name.
   */
  constructor (readonly incarnation: string, slots: number, private readonly _gate: EndpointGate = openGate, private readonly _endpoint = '') {
    this._slots = slots
  }

  get lifecycle (): Lifecycle { return this._lifecycle }
  get running (): number { return this._runs.size }
  get slots (): number { return this._slots }
  get switching (): boolean { return this._switching }
  /** Whether the endpoint is known to serve a whole, verified version (or is a plain service). */
  get serving (): boolean { return this._serving }

  /** Moves the lifecycle forward; it never moves back. Returns whether it moved. */
  leave (lifecycle: Lifecycle): boolean {
    const joined = joinLifecycle(this._lifecycle, lifecycle)
    const moved = joined !== this._lifecycle
    this._lifecycle = joined
    return moved
  }

  setSlots (slots: number): void { this._slots = slots }
  setServing (serving: boolean): void { this._serving = serving }
  /** While switching, nothing new starts and what runs goes on to its end. */
  setSwitching (switching: boolean): void { this._switching = switching }

  /**
   * Offers a place for a request that may not repeat.
   *
   * @example
   * const reply = door.offer(now) // { type: 'ready', ticket: 'agent-1.x:1' }
   */
  offer (now: number): OfferReply {
    this._forget(now)
    const reason = this._refusal(now)
    if (reason !== undefined) return { type: 'refused', reason }
    if (this._tickets.size >= TICKET_LIMIT) return { type: 'refused', reason: 'busy' }
    const ticket = `${this.incarnation}:${this._nextTicket++}`
    this._tickets.set(ticket, { state: 'offered', expiresAt: now + TICKET_LIFETIME })
    return { type: 'ready', ticket }
  }

  /** Uses a ticket, once. Anything but a live, unused ticket of this incarnation is refused. */
  go (ticket: string, now: number): Admission {
    const known = this._tickets.get(ticket)
    if (known === undefined || known.state !== 'offered') return { type: 'refused', reason: 'ticket-unknown' }
    if (known.expiresAt <= now) return this._kill(known, 'ticket-expired')
    const reason = this._refusal(now)
    if (reason !== undefined) return this._kill(known, reason)
    known.state = 'started'
    return this._start(now)
  }

  /** Starts a request that may repeat. */
  run (now: number): Admission {
    const reason = this._refusal(now)
    if (reason !== undefined) return { type: 'refused', reason }
    return this._start(now)
  }

  /** Asks for the fate of a ticket and kills it if it was not used. */
  cancel (ticket: string): CancelReply {
    const known = this._tickets.get(ticket)
    if (known === undefined) return 'unknown'
    if (known.state === 'started') return 'started'
    known.state = 'dead'
    return 'never-started'
  }

  /** A run has ended, however it ended. */
  finished (run: number): void { this._runs.delete(run) }

  private _start (now: number): Admission {
    this._gate.sent(this._endpoint, now)
    const run = this._nextRun++
    this._runs.add(run)
    return { type: 'admitted', run }
  }

  private _kill (ticket: Ticket, reason: AdmissionRefusal): Admission {
    ticket.state = 'dead'
    return { type: 'refused', reason }
  }

  private _refusal (now: number): AdmissionRefusal | undefined {
    if (this._lifecycle !== 'serving') return 'leaving'
    if (this._switching) return 'switching'
    if (!this._serving) return 'not-serving'
    if (this._runs.size >= this._slots) return 'busy'
    const spared = this._gate.sparedFor(this._endpoint, now)
    return spared === undefined ? undefined : refusalsOfSpared[spared]
  }

  private _forget (now: number): void {
    for (const [name, ticket] of this._tickets) {
      if (ticket.expiresAt + TICKET_MEMORY > now) break
      this._tickets.delete(name)
    }
  }
}
