/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Simulates endpoints that are cold, and a fleet of entries that do not see each other's requests, each with its own clock. It counts the
 * requests to one endpoint in any second, as they are sent and as they arrive.
 */
import { COLD_CONNECT_TIMEOUT, ColdEndpoints, FleetSize, startKeyOf, type EndpointRecord, type ServiceDescription } from '@drumdrift/core'
import { seededRandom } from '@drumdrift/stand-ins'

/** What happens in a simulation. */
export type ColdCase =
  /** All endpoints of a zone start during traffic. */
  | 'zone-returns'
  /** The same, while entries restart one after the other. */
  | 'entries-restart'
  /** The same, with no requests for a second, and then three times the usual rate, again and again. */
  | 'silences'
  /** The same, while connections to one endpoint after the other stall, and those that waited open together. */
  | 'stalls'
  /** Endpoints that were in use become cold again; entries learn this from answers, or seconds later from the list. */
  | 'cold-again'
  /**
   * The same while a zone is cut off for minutes: its entries receive no list, tell others nothing and are told nothing, and both sides
   * estimate the number of entries from the agents that they reach. Requests of both sides reach the cold endpoints.
   */
  | 'zone-cut-off'

/** All cases, in the order of the output. */
export const coldCases: readonly ColdCase[] = ['zone-returns', 'entries-restart', 'silences', 'stalls', 'cold-again', 'zone-cut-off']

/** Parameters of one simulation run. */
export interface ColdRun {
  readonly event: ColdCase
  readonly entries: number
  /** Requests per second to the service, over all entries. */
  readonly requestsPerSecond: number
  /** Whether the limit on cold endpoints is applied. */
  readonly limited: boolean
  readonly seed: number
}

/** Results of one simulation run. */
export interface ColdFigures {
  /** The most requests to one cold endpoint in any second, as sent and as arrived. */
  readonly mostSent: number
  readonly mostArrived: number
  readonly allowed: number
  /** The requests that arrived at cold endpoints, as a share of those that they withstand. */
  readonly usedShare: number
}

const RATE = 14
const BOUNDS = { factor: 1.5, slack: 5 }
const ZONES = ['koshi', 'bagmati', 'gandaki'] as const
const ENDPOINTS = 28
const WINDOW = 1_000
/** The simulated rounds of cold times; each begins after some time with warm endpoints. In milliseconds. */
const ROUNDS = 3
const WARM_TIME = 3_000
const COLD_TIME = 8_000
/** The longest delay of the list, and the time until an answer arrives, in milliseconds. */
const MAX_LIST_DELAY = 400
const LATE_LIST_DELAY = 3_000
const ANSWER_TIME = 150
/** The longest time until cold times that one entry learned from an answer reach the others, in milliseconds. */
const MAX_NEWS_DELAY = 60
const MAX_LINK_DELAY = 5
const RESTART_INTERVAL = 250
const SILENCE_PERIOD = 3_000
const SILENCE = 1_000
const STALL_PERIOD = 400
const STALL = 200

const service: ServiceDescription = { name: 'pool', maxConnections: 64, cold: { duration: COLD_TIME, requestsPerSecond: RATE } }

interface Entry {
  readonly zone: string
  readonly clockOffset: number
  cold: ColdEndpoints
  records: readonly EndpointRecord[]
}

interface Send {
  readonly sentAt: number
  /** `undefined` if the connection did not open in time. */
  readonly arrivedAt: number | undefined
}

interface Timer {
  readonly at: number
  readonly run: () => void
}

/** One simulation. */
class ColdModel {
  private readonly _draw: () => number
  private readonly _entries: Entry[]
  private _records: readonly EndpointRecord[]
  private _coldUntil = 0
  private readonly _timers: Timer[] = []
  /** The requests to cold endpoints, by start and round. */
  private readonly _sends = new Map<string, Send[]>()

  constructor (private readonly _run: ColdRun) {
    this._draw = seededRandom(_run.seed)
    this._records = Array.from({ length: ENDPOINTS }, (_, index) => ({
      id: `e${index}`, born: 0, writings: 1, service: 'pool', address: `10.0.0.${index}:80`, availabilityZone: ZONES[index % ZONES.length] ?? '', slots: 12, draining: false, models: [], coldRemaining: 0
    }))
    this._entries = Array.from({ length: _run.entries }, (_, index) => this._startEntry(ZONES[index % ZONES.length] ?? '', 0))
  }

  run (): ColdFigures {
    let now = 0
    for (let round = 0; round < ROUNDS; round += 1) {
      const coldAt = now + WARM_TIME
      this._schedule(coldAt, () => this._becomeCold(round, coldAt))
      this._simulate(now, coldAt + COLD_TIME)
      now = coldAt + COLD_TIME
    }
    const sends = [...this._sends.values()]
    const arrivals = sends.map(list => list.flatMap(({ arrivedAt }) => arrivedAt ?? []).sort((left, right) => left - right))
    const cold = Math.ceil(ENDPOINTS / ZONES.length) * ROUNDS
    return {
      mostSent: Math.max(0, ...sends.map(list => mostInWindow(list.map(({ sentAt }) => sentAt)))),
      mostArrived: Math.max(0, ...arrivals.map(mostInWindow)),
      allowed: RATE * BOUNDS.factor + BOUNDS.slack,
      usedShare: arrivals.reduce((sum, list) => sum + list.length, 0) / (cold * RATE * COLD_TIME / WINDOW)
    }
  }

  private _startEntry (zone: string, now: number): Entry {
    const clockOffset = this._draw() * 1e6
    const fleet = this._estimateOf(zone)
    const cold = new ColdEndpoints(this._run.limited ? BOUNDS : undefined, () => fleet, this._draw, now + clockOffset)
    const entry = { zone, clockOffset, cold, records: [] }
    this._list(entry, now)
    return entry
  }

  /** The number of entries as an entry of a zone estimates it: exactly, unless zones are cut off from each other. */
  private _estimateOf (zone: string): number | undefined {
    if (this._run.event !== 'zone-cut-off') return this._run.entries
    const agents = ENDPOINTS / ZONES.length
    const isCutOff = (name: string): boolean => name === ZONES[0]
    const reached = ZONES.filter(name => isCutOff(name) === isCutOff(zone))
    const fleet = new FleetSize(() => ZONES.map(availabilityZone => ({ availabilityZone, listed: agents, followed: agents })))
    // Each entry counts as one divided by the number of agents that it still hears.
    const count = this._run.entries / ZONES.length / agents
    for (const name of reached) for (let agent = 0; agent < agents; agent += 1) fleet.heard(name, `${name}-${agent}`, count, 0)
    return fleet.estimate(0)
  }

  /** An entry receives the list, with the remaining cold time of the endpoints as they wrote it last. */
  private _list (entry: Entry, now: number): void {
    entry.records = this._records.map(record => this._isCold(record, now) ? { ...record, coldRemaining: this._coldUntil - now } : record)
    entry.cold.update(entry.records, [service], true, now + entry.clockOffset)
  }

  private get _startsAgain (): boolean { return this._run.event !== 'cold-again' && this._run.event !== 'zone-cut-off' }

  private _becomeCold (round: number, now: number): void {
    this._coldUntil = now + COLD_TIME
    this._records = this._records.map(record => record.availabilityZone !== ZONES[0] ? record : { ...record, born: this._startsAgain ? round + 1 : 0, writings: (record.writings ?? 0) + 1 })
    // Endpoints that start again are gone before: nothing is sent to a start that is not listed.
    if (this._startsAgain) for (const entry of this._entries) entry.records = entry.records.filter(({ availabilityZone }) => availabilityZone !== ZONES[0])
    for (const entry of this._entries) {
      if (this._run.event === 'zone-cut-off' && entry.zone === ZONES[0]) continue
      const delay = this._startsAgain ? this._draw() * MAX_LIST_DELAY : LATE_LIST_DELAY
      this._schedule(now + delay, () => this._list(entry, now + delay))
    }
    if (this._run.event !== 'entries-restart') return
    for (let restart = 0; restart < COLD_TIME / RESTART_INTERVAL; restart += 1) {
      const at = now + restart * RESTART_INTERVAL
      const index = restart % this._run.entries
      this._schedule(at, () => { this._entries[index] = this._startEntry(this._entries[index]?.zone ?? '', at) })
    }
  }

  private _simulate (from: number, until: number): void {
    let now = from
    for (;;) {
      const rate = this._rateAt(now)
      now += rate === 0 ? 1 : -Math.log(1 - this._draw()) / rate * WINDOW
      if (now >= until) break
      this._runTimers(now)
      if (rate > 0) this._request(this._entries[Math.floor(this._draw() * this._entries.length)] as Entry, now)
    }
    this._runTimers(until)
  }

  private _rateAt (now: number): number {
    const { event, requestsPerSecond } = this._run
    if (event !== 'silences') return requestsPerSecond
    return now % SILENCE_PERIOD < SILENCE ? 0 : now % SILENCE_PERIOD < SILENCE + 300 ? 3 * requestsPerSecond : requestsPerSecond
  }

  private _request (entry: Entry, now: number): void {
    const clock = now + entry.clockOffset
    const open = entry.records.filter(record => entry.cold.sparedFor(startKeyOf(record), clock) === undefined)
    const due = open.filter(record => entry.cold.isDue(startKeyOf(record), clock))
    const choices = due.length > 0 ? due : open
    const record = choices[Math.floor(this._draw() * choices.length)]
    if (record === undefined) return
    const start = startKeyOf(record)
    entry.cold.sent(start, clock)
    const arrivedAt = this._arrivalOf(record, now)
    if (this._isCold(record, now)) this._record(`${start} ${this._coldUntil}`, { sentAt: now, arrivedAt })
    if (arrivedAt === undefined) return
    this._schedule(now + ANSWER_TIME, () => {
      const at = now + ANSWER_TIME
      if (!this._isCold(record, at)) return
      const changes = entry.cold.heard(start, this._coldUntil - at, clock, at + entry.clockOffset)
      if (changes.length > 0) this._tell(entry, start, this._coldUntil - at, at)
    })
  }

  private _tell (from: Entry, start: string, remaining: number, now: number): void {
    for (const entry of this._entries) {
      if (this._run.event === 'zone-cut-off' && (entry.zone === ZONES[0]) !== (from.zone === ZONES[0])) continue
      const at = now + this._draw() * MAX_NEWS_DELAY
      this._schedule(at, () => { entry.cold.told([{ start, remaining }], at + entry.clockOffset) })
    }
  }

  /** In a stall, a connection opens at its end, unless it has to wait for longer than it may. */
  private _arrivalOf (record: EndpointRecord, now: number): number | undefined {
    const delay = this._draw() * MAX_LINK_DELAY
    const phase = (now + 37 * Number(record.id.slice(1))) % STALL_PERIOD
    if (this._run.event !== 'stalls' || phase >= STALL) return now + delay
    return STALL - phase > COLD_CONNECT_TIMEOUT ? undefined : now + STALL - phase
  }

  private _isCold ({ availabilityZone }: EndpointRecord, now: number): boolean { return availabilityZone === ZONES[0] && now < this._coldUntil }

  private _record (key: string, send: Send): void {
    const list = this._sends.get(key) ?? []
    list.push(send)
    this._sends.set(key, list)
  }

  private _schedule (at: number, run: () => void): void {
    let index = this._timers.length
    while (index > 0 && (this._timers[index - 1]?.at ?? 0) > at) index -= 1
    this._timers.splice(index, 0, { at, run })
  }

  private _runTimers (now: number): void {
    while ((this._timers[0]?.at ?? Infinity) <= now) this._timers.shift()?.run()
  }
}

function mostInWindow (times: readonly number[]): number {
  let most = 0
  let first = 0
  for (let last = 0; last < times.length; last += 1) {
    while ((times[last] ?? 0) - (times[first] ?? 0) >= WINDOW) first += 1
    most = Math.max(most, last - first + 1)
  }
  return most
}

/**
 * Simulates three cold times of the endpoints of one zone.
 *
 * @example
 * const { mostArrived, allowed } = simulateCold({ event: 'zone-returns', entries: 40, requestsPerSecond: 400, limited: true, seed: 7 })
 */
export function simulateCold (run: ColdRun): ColdFigures { return new ColdModel(run).run() }
