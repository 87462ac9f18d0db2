/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Entries, agents and endpoints while some requests crash every endpoint that runs them, with the real evidence on suspect requests.
 * The oracles count the sends of a fatal request after the crashes that suffice to hold it back, and the harmless requests held back.
 */
import { SuspectRequests, type SuspectNews } from '@drumdrift/core'
import { Process, World } from './world.js'

/** The parts whose protections a variant may remove. */
export interface SuspectParts {
  readonly suspects: () => SuspectRequests
  /** Whether entries report losses to agents. */
  readonly tells: boolean
  /** Whether agents send the known losses to restarted entries. */
  readonly tellsNewcomers: boolean
}

/** The product's own parts. */
export const realSuspectParts: SuspectParts = { suspects: () => new SuspectRequests(), tells: true, tellsNewcomers: true }

interface Member {
  process: Process
  suspects: SuspectRequests
}

interface Endpoint {
  /** Number of restarts. */
  start: number
  downUntil: number
  readonly running: Set<Attempt>
}

interface Attempt {
  readonly entry: Member
  readonly process: Process
  readonly fingerprint: string
  readonly fatal: boolean
  /** Whether this is the caller's repeat of a request that was not answered. */
  readonly again: boolean
  attempts: number
}

const ZONES = ['koshi', 'bagmati', 'gandaki'] as const
const ENTRIES = 6
const ENDPOINTS = 12
const FATAL = ['fa00000000000001', 'fa00000000000002'] as const
const MOST_ATTEMPTS = 2
/** How long an endpoint takes to restart, in milliseconds. */
const DOWN_TIME = 3_000
/** Duration of a harmless request, and the longest time until a fatal one crashes its endpoint, in milliseconds. */
const RUN_TIME = 1_200
const TIME_TO_END = 80
/** Delay after which a caller repeats a failed request, once, in milliseconds. */
const RETURN_TIME = 100
/** Time allowed for the fleet to recognise a fatal request, in milliseconds, and the sends of it allowed after that. */
const NOTICE_TIME = 3_000
const MOST_SENDS_AFTER = 3
/** Number of losses after which a request must be held back. */
const DECISIVE_LOSSES = 3
/** Interval of the entries' reports, in milliseconds, and the number of agents that receive each. */
const TELL_PAUSE = 100
const TOLD_AGENTS = 6
/** Upper bound of the duration of everything that is in progress, in milliseconds. */
const SETTLE_TIME = 10_000

/** Simulation of entries, agents and endpoints. */
export class SuspectWorld {
  readonly world: World
  private readonly _entries: Member[] = []
  private readonly _agents: Member[] = []
  private readonly _endpoints: Endpoint[] = []
  /** By fingerprint: the times of the crashes, and the number of sends after the time allowed since the decisive one. */
  private readonly _ends = new Map<string, number[]>()
  private readonly _sendsAfter = new Map<string, number>()
  private _innocent = 0
  /** Sends do not count while entries or links are disturbed, nor for the time allowed after that. */
  private _disturbedUntil = -Infinity

  constructor (seed: number, private readonly _parts: SuspectParts = realSuspectParts) {
    this.world = new World(seed)
    for (let index = 0; index < ENTRIES; index += 1) this._entries.push(this._start(`entry-${index}`, index))
    for (let index = 0; index < ENDPOINTS; index += 1) {
      this._agents.push(this._start(`agent-${index}`, index))
      this._endpoints.push({ start: 0, downUntil: -Infinity, running: new Set() })
    }
    this._tell()
  }

  /** Schedules harmless requests over a period. */
  load (count: number, milliseconds: number): void {
    for (let index = 0; index < count; index += 1) {
      this.world.after(this.world.between(0, milliseconds), undefined, () => this._request((this._innocent += 1).toString(16).padStart(16, '0'), false, false))
    }
  }

  /** Schedules repeats of one fatal request over a period, each through a random entry. */
  repeat (which: number, count: number, milliseconds: number): void {
    const fingerprint = FATAL[which % FATAL.length] ?? FATAL[0]
    for (let index = 0; index < count; index += 1) this.world.after(this.world.between(0, milliseconds), undefined, () => this._request(fingerprint, true, false))
  }

  /** Resets an entry's connections to all endpoints, which keep running. */
  resetConnections (index: number): void {
    const { process } = this._entries[index % ENTRIES] as Member
    for (const [number, endpoint] of this._endpoints.entries()) {
      for (const attempt of endpoint.running) if (attempt.process === process) this._lost(number, attempt)
    }
  }

  /** Crashes an endpoint without a request as the cause. */
  endOne (index: number): void { this._endEndpoint(index % ENDPOINTS) }

  /** Kills and restarts an entry. */
  restart (index: number): void {
    const place = index % ENTRIES
    this.world.kill((this._entries[place] as Member).process)
    const entry = this._start(`entry-${place}`, place)
    this._entries[place] = entry
    this._disturb()
    if (!this._parts.tellsNewcomers) return
    for (const agent of this._agents) this._pass(agent, [entry], { losses: agent.suspects.known(this.world.now), answers: [] })
  }

  /** Partitions a zone from all others. */
  cutZone (index: number): void {
    const zone = ZONES[index % ZONES.length] ?? ''
    for (const other of ZONES.filter(name => name !== zone)) {
      this.world.cut(zone, other)
      this.world.cut(other, zone)
    }
    this._disturbedUntil = Infinity
  }

  heal (): void {
    this.world.heal()
    if (this._disturbedUntil === Infinity) this._disturb()
  }

  settle (): void {
    this.heal()
    this.world.advance(SETTLE_TIME)
  }

  private _disturb (): void { this._disturbedUntil = Math.max(this._disturbedUntil, this.world.now + NOTICE_TIME) }

  private _start (name: string, index: number): Member {
    return { process: new Process(name, ZONES[index % ZONES.length] ?? '', `${name}.${this.world.now}`, 0), suspects: this._parts.suspects() }
  }

  private _request (fingerprint: string, fatal: boolean, again: boolean): void {
    const entry = this.world.pick(this._entries) as Member
    if (entry.suspects.standing(fingerprint, this.world.now) !== 'held-back') return this._send({ entry, process: entry.process, fingerprint, fatal, again, attempts: 0 })
    if (!fatal) this.world.violate(`no-innocents: request ${fingerprint} is held back when its caller repeats it`)
  }

  private _send (attempt: Attempt): void {
    const up = [...this._endpoints.keys()].filter(index => this._up(index) && this.world.connected(attempt.process, (this._agents[index] as Member).process))
    const index = this.world.pick(up)
    if (index === undefined) return
    attempt.attempts += 1
    if (attempt.fatal) this._countSend(attempt.fingerprint)
    const endpoint = this._endpoints[index] as Endpoint
    const { start } = endpoint
    endpoint.running.add(attempt)
    this.world.after(attempt.fatal ? this.world.between(1, TIME_TO_END) : RUN_TIME, undefined, () => {
      if (endpoint.start !== start || !endpoint.running.has(attempt)) return
      if (attempt.fatal) return this._endEndpoint(index, attempt.fingerprint)
      endpoint.running.delete(attempt)
      const { now } = this.world
      const cleared = attempt.entry.suspects.answered(attempt.fingerprint, now)
      if (cleared) this._tellAgents(attempt.entry, { losses: [], answers: [{ fingerprint: attempt.fingerprint, age: 0 }] })
    })
    this._showLife(index, attempt, start)
  }

  /** Sends stream events, which show the entry that the endpoint is alive. */
  private _showLife (index: number, attempt: Attempt, start: number): void {
    const endpoint = this._endpoints[index] as Endpoint
    this.world.after(this.world.between(50, 100), attempt.process, () => {
      if (endpoint.start !== start || !endpoint.running.has(attempt)) return
      attempt.entry.suspects.lived(nameOf(index, start), this.world.now)
      this._showLife(index, attempt, start)
    })
  }

  private _up (index: number): boolean { return (this._endpoints[index] as Endpoint).downUntil <= this.world.now }

  private _endEndpoint (index: number, under?: string): void {
    const endpoint = this._endpoints[index] as Endpoint
    if (!this._up(index)) return
    if (under !== undefined) this._ends.set(under, [...this._ends.get(under) ?? [], this.world.now])
    for (const attempt of endpoint.running) this._lost(index, attempt)
    endpoint.start += 1
    endpoint.downUntil = this.world.now + DOWN_TIME
  }

  private _lost (index: number, attempt: Attempt): void {
    const { start, running } = this._endpoints[index] as Endpoint
    running.delete(attempt)
    this.world.after(this.world.between(1, 5), attempt.process, () => {
      const { now } = this.world
      attempt.entry.suspects.lost(attempt.fingerprint, nameOf(index, start), now)
      if (attempt.attempts < MOST_ATTEMPTS && attempt.entry.suspects.standing(attempt.fingerprint, now) === 'clear') return this._send(attempt)
      if (!attempt.fatal && !attempt.again) this.world.after(RETURN_TIME, undefined, () => this._request(attempt.fingerprint, false, true))
    })
  }

  private _countSend (fingerprint: string): void {
    const { now } = this.world
    const decisive = this._ends.get(fingerprint)?.[DECISIVE_LOSSES - 1]
    if (decisive === undefined || now - decisive <= NOTICE_TIME || now <= this._disturbedUntil) return
    const sends = (this._sendsAfter.get(fingerprint) ?? 0) + 1
    this._sendsAfter.set(fingerprint, sends)
    if (sends > MOST_SENDS_AFTER) this.world.violate(`few-ends: a request was sent ${sends} more times, long after it had crashed three endpoints`)
  }

  private _tell (): void {
    for (const entry of this._entries) this._tellAgents(entry, { losses: entry.suspects.takeConfirmed(this.world.now), answers: [] })
    this.world.after(TELL_PAUSE, undefined, () => this._tell())
  }

  private _tellAgents (entry: Member, news: SuspectNews): void {
    if (isEmpty(news) || !this._parts.tells) return
    const reached = this._agents.filter(({ process }) => this.world.connected(entry.process, process))
    for (let told = 0; told < TOLD_AGENTS && reached.length > 0; told += 1) {
      const [agent] = reached.splice(Math.floor(this.world.random() * reached.length), 1) as [Member]
      this.world.after(this.world.between(1, 8), agent.process, () => this._pass(agent, this._entries, agent.suspects.heard(news, this.world.now)))
    }
  }

  private _pass (agent: Member, entries: readonly Member[], news: SuspectNews): void {
    if (isEmpty(news)) return
    for (const entry of entries) {
      if (!this.world.connected(agent.process, entry.process)) continue
      this.world.after(this.world.between(1, 8), entry.process, () => {
        const { losses, answers } = entry.suspects.heard(news, this.world.now)
        this._tellAgents(entry, { losses: losses.filter(({ fingerprint }) => entry.suspects.standing(fingerprint, this.world.now) !== 'clear'), answers })
      })
    }
  }
}

function isEmpty ({ losses, answers }: SuspectNews): boolean { return losses.length + answers.length === 0 }

function nameOf (index: number, start: number): string { return `endpoint-${index}@${start}` }
