/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Entries and endpoints that name limits in their answers, change them and end them, with the real decision on what each entry may
 * send. The oracles count what reaches an endpoint from entries that it told, and look whether an endpoint that names no limit any more
 * gets requests of all entries again. Fleets have 6, 24 or 98 entries.
 */
import { EndpointLimits, type LimitNews } from '@drumdrift/core'
import { Process, World } from './world.js'

/** The parts whose protections a variant may take out. */
export interface LimitParts {
  readonly limits: (entries: (now: number) => number | undefined, draw: () => number) => Pick<EndpointLimits, 'heard' | 'told' | 'corrections' | 'report' | 'known' | 'sparedFor' | 'isDue' | 'sent'>
  /** Whether entries tell each other what they heard. */
  readonly tells: boolean
}

/** The product's own parts. */
export const realLimitParts: LimitParts = { limits: (...given) => new EndpointLimits(...given), tells: true }

interface Entry {
  process: Process
  limits: ReturnType<LimitParts['limits']>
  /** When it passed on the first answer of each endpoint that names a limit. */
  readonly toldBy: Map<number, number>
  /** Excused until then: it was restarted or cut off. */
  excusedUntil: number
}

interface Endpoint {
  limit: number | undefined
  /** Since when entries have had to heed what it names, and the lowest that it has named since it began. */
  since: number
  lowest: number
  /** When it named a limit for the last time. */
  endedAt: number
  arrivals: { readonly at: number, readonly entry: Entry, readonly process: Process }[]
}

const ZONES = ['koshi', 'bagmati', 'gandaki'] as const
const FLEETS = [6, 24, 98] as const
const ENDPOINTS = 4
/** Requests a second to all endpoints, in calm times. */
const RATE = 60
/** An endpoint answers after this, in milliseconds; now and then an answer is overtaken by many others. */
const LONGEST_ANSWER = 300
const OVERTAKEN = 0.03
const LONGEST_WAY = 700
/** The operators count in stretches of this length, allow so much, and give so much time to take notice; in milliseconds. */
const STRETCH = 4_000
const ALLOWED_FACTOR = 1.5
const ALLOWED_BEYOND = 5
const NOTICE_TIME = 3_000
const HEEDED_AFTER = 500
/** How many entries are told by those whom one entry tells, and of how many it is one, at each telling. */
const REACHED_SHARE = 0.6
/** How often an entry compares what holds with what others hold, in milliseconds. */
const COMPARE_PAUSE = 5_000
/**
 * An endpoint that names no limit any more gets requests from all entries within a minute, if it took one in three seconds at least
 * before; in milliseconds, and requests a second.
 */
const KNOWN_AGAIN = 60_000
const LEAST_KNOWN_AGAIN = 0.3

/** One run's entries and endpoints. */
export class LimitWorld {
  readonly world: World
  private readonly _entries: Entry[] = []
  private readonly _endpoints: Endpoint[] = []
  private _loadUntil = 0
  private _cut = false

  constructor (seed: number, private readonly _parts: LimitParts = realLimitParts) {
    this.world = new World(seed)
    const entries = this.world.pick(FLEETS) ?? FLEETS[0]
    for (let index = 0; index < entries; index += 1) this._entries.push(this._start(index, entries))
    for (let index = 0; index < ENDPOINTS; index += 1) this._endpoints.push({ limit: undefined, since: 0, lowest: 0, endedAt: -Infinity, arrivals: [] })
    if (_parts.tells) this._compare()
  }

  /** Requests come in for some time, so many times as many as usual. */
  load (milliseconds: number, factor: number): void {
    this._loadUntil = Math.max(this._loadUntil, this.world.now + milliseconds)
    this._next(this.world.now + milliseconds, factor)
  }

  /** An endpoint names a limit from now on, in requests a second, or another than before. */
  name (index: number, limit: number): void {
    const endpoint = this._endpoints[index % ENDPOINTS] as Endpoint
    // After each change for the lower entries are given the time to take notice anew.
    if (endpoint.limit === undefined || limit < endpoint.limit) endpoint.since = this.world.now
    endpoint.lowest = endpoint.limit === undefined ? limit : Math.min(endpoint.lowest, limit)
    endpoint.limit = limit
  }

  /** It names none any more. */
  end (index: number): void {
    const endpoint = this._endpoints[index % ENDPOINTS] as Endpoint
    if (endpoint.limit === undefined) return
    endpoint.limit = undefined
    endpoint.endedAt = this.world.now
    for (const entry of this._entries) entry.toldBy.delete(index % ENDPOINTS)
  }

  /** An entry is killed, and starts again. */
  restart (index: number): void {
    const place = index % this._entries.length
    this.world.kill((this._entries[place] as Entry).process)
    const entry = this._start(place, this._entries.length)
    entry.excusedUntil = this.world.now + NOTICE_TIME
    this._entries[place] = entry
    this._tellKnown(entry)
  }

  /** A zone and all others do not reach each other. */
  cutZone (index: number): void {
    const zone = ZONES[index % ZONES.length] ?? ''
    for (const other of ZONES.filter(name => name !== zone)) {
      this.world.cut(zone, other)
      this.world.cut(other, zone)
    }
    this._cut = true
  }

  heal (): void {
    this.world.heal()
    if (!this._cut) return
    this._cut = false
    for (const entry of this._entries) {
      entry.excusedUntil = this.world.now + NOTICE_TIME
      this._tellKnown(entry)
    }
  }

  /** What endpoints named ends, and in a while all entries know it. */
  settle (): void {
    this.world.advance(Math.max(0, this._loadUntil - this.world.now))
    this.heal()
    this.load(KNOWN_AGAIN + STRETCH, 1)
    this.world.advance(STRETCH)
    for (let index = 0; index < ENDPOINTS; index += 1) this.end(index)
    this.world.advance(KNOWN_AGAIN)
    for (const [index, { endedAt, lowest }] of this._endpoints.entries()) {
      const sparing = this._entries.filter(({ limits }) => limits.sparedFor(nameOf(index), this.world.now) !== undefined)
      if (endedAt > -Infinity && lowest >= LEAST_KNOWN_AGAIN && sparing.length > 0) this.world.violate(`limit-ends: ${sparing.length} of ${this._entries.length} entries spare an endpoint that has named no limit for ${KNOWN_AGAIN} ms`)
    }
  }

  private _start (index: number, entries: number): Entry {
    const process = new Process(`entry-${index}`, ZONES[index % ZONES.length] ?? '', `${index}.${this.world.now}`, 0)
    return { process, limits: this._parts.limits(() => entries, () => this.world.random()), toldBy: new Map(), excusedUntil: -Infinity }
  }

  private _next (until: number, factor: number): void {
    this.world.after(this.world.between(0, 2_000 / (RATE * factor)), undefined, () => {
      if (this.world.now > until) return
      this._request(this.world.pick(this._entries) as Entry)
      this._next(until, factor)
    })
  }

  private _request (entry: Entry): void {
    const { process, limits } = entry
    const askedAt = this.world.now
    const open = [...this._endpoints.keys()].filter(index => limits.sparedFor(nameOf(index), askedAt) === undefined)
    const due = open.filter(place => limits.isDue(nameOf(place), askedAt))
    const index = this.world.pick(due.length > 0 ? due : open)
    if (index === undefined) return
    limits.sent(nameOf(index), askedAt)
    this.world.after(this.world.between(1, 5), undefined, () => this._arrive(entry, process, index))
    this.world.after(this.world.between(5, LONGEST_ANSWER), undefined, () => {
      const { limit } = this._endpoints[index] as Endpoint
      const way = this.world.random() < OVERTAKEN ? this.world.between(5, LONGEST_WAY) : this.world.between(1, 5)
      this.world.after(way, process, () => this._answered(entry, index, limit, askedAt))
    })
  }

  private _answered (entry: Entry, index: number, limit: number | undefined, askedAt: number): void {
    const { now } = this.world
    const endpoint = this._endpoints[index] as Endpoint
    if (limit !== undefined && endpoint.limit !== undefined && !entry.toldBy.has(index)) entry.toldBy.set(index, now)
    const change = entry.limits.heard(nameOf(index), { limit, askedAt, heardAt: now }, now)
    if (change !== undefined) this._tell(entry, entry.limits.report(nameOf(index), now))
  }

  private _arrive (entry: Entry, process: Process, index: number): void {
    const { now } = this.world
    const endpoint = this._endpoints[index] as Endpoint
    endpoint.arrivals = endpoint.arrivals.filter(({ at }) => at > now - STRETCH)
    endpoint.arrivals.push({ at: now, entry, process })
    if (endpoint.limit === undefined || now < endpoint.since + NOTICE_TIME) return
    const counted = endpoint.arrivals.filter(arrival => arrival.at >= endpoint.since + NOTICE_TIME && this._counts(arrival, index))
    const allowed = ALLOWED_FACTOR * endpoint.limit * STRETCH / 1_000 + ALLOWED_BEYOND
    if (counted.length > allowed) this.world.violate(`within-limit: ${counted.length} requests reached an endpoint that takes ${endpoint.limit} a second, of ${this._entries.length} entries`)
  }

  private _counts ({ at, entry, process }: Endpoint['arrivals'][number], index: number): boolean {
    const toldAt = entry.toldBy.get(index) ?? Infinity
    return process.alive && !this._cut && at >= toldAt + HEEDED_AFTER && at >= entry.excusedUntil
  }

  /** Agents pass on what one entry heard to the entries that follow them. */
  private _tell (from: Entry, news: LimitNews): void {
    if (!this._parts.tells) return
    for (const entry of this._entries) {
      if (entry === from || this.world.random() >= REACHED_SHARE || !this.world.connected(from.process, entry.process)) continue
      this._tellOne(entry, news)
    }
  }

  /** Agents tell an entry that reaches them again what they were told by others. */
  private _tellKnown (entry: Entry): void {
    if (!this._parts.tells) return
    for (const zone of ZONES) {
      const other = this.world.pick(this._entries.filter(({ process }) => process.availabilityZone === zone)) as Entry
      this._tellOne(entry, other.limits.known(this.world.now))
    }
  }

  /** Each entry tells another, by way of an agent, what holds for it, and is put right. */
  private _compare (): void {
    for (const entry of this._entries) {
      const other = this.world.pick(this._entries) as Entry
      const news = entry.limits.known(this.world.now)
      if (news.length === 0 || !this.world.connected(entry.process, other.process)) continue
      this._tellOne(other, news)
      const corrections = other.limits.corrections(news, this.world.now)
      if (corrections.length > 0) this._tellOne(entry, corrections)
    }
    this.world.after(COMPARE_PAUSE, undefined, () => this._compare())
  }

  private _tellOne (entry: Entry, news: LimitNews): void {
    this.world.after(this.world.between(2, 16), entry.process, () => {
      const { now } = this.world
      for (const { start } of entry.limits.told(news, now)) this._tell(entry, entry.limits.report(start, now))
    })
  }
}

function nameOf (index: number): string { return `endpoint-${index}` }
