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
  readonly reportsToAgents: boolean
  /** Whether agents send the known losses to restarted entries. */
  readonly informsRestartedEntries: boolean
}

/** The product's own parts. */
export const realSuspectParts: SuspectParts = { suspects: () => new SuspectRequests(), reportsToAgents: true, informsRestartedEntries: true }

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
  readonly isRepeat: boolean
  attempts: number
}

const ZONES = ['koshi', 'bagmati', 'gandaki'] as const
const ENTRY_COUNT = 6
const ENDPOINT_COUNT = 12
const FATAL_FINGERPRINTS = ['fa00000000000001', 'fa00000000000002'] as const
const MAX_ATTEMPTS = 2
/** How long an endpoint takes to restart, in milliseconds. */
const RESTART_TIME = 3_000
/** Duration of a harmless request, and the longest time until a fatal one crashes its endpoint, in milliseconds. */
const RUN_TIME = 1_200
const MAX_TIME_TO_CRASH = 80
/** Delay after which a caller repeats a failed request, once, in milliseconds. */
const CALLER_RETRY_DELAY = 100
/** Time allowed for the fleet to recognise a fatal request, in milliseconds, and the sends of it allowed after that. */
const DETECTION_TIME = 3_000
const MAX_SENDS_AFTER_DETECTION = 3
/** Number of losses after which a request must be held back. */
const DECISIVE_LOSSES = 3
/** Interval of the entries' reports, in milliseconds, and the number of agents that receive each. */
const REPORT_INTERVAL = 100
const AGENTS_PER_REPORT = 6
/** Upper bound of the duration of everything that is in progress, in milliseconds. */
const SETTLE_TIME = 10_000

/** Simulation of entries, agents and endpoints. */
export class SuspectWorld {
  readonly world: World
  private readonly _entries: Member[] = []
  private readonly _agents: Member[] = []
  private readonly _endpoints: Endpoint[] = []
  /** By fingerprint: the times of the crashes, and the number of sends after the time allowed since the decisive one. */
  private readonly _crashTimes = new Map<string, number[]>()
  private readonly _sendsAfterDetection = new Map<string, number>()
  private _harmlessRequests = 0
  /** Sends do not count while entries or links are disturbed, nor for the time allowed after that. */
  private _disturbedUntil = -Infinity

  constructor (seed: number, private readonly _parts: SuspectParts = realSuspectParts) {
    this.world = new World(seed)
    for (let index = 0; index < ENTRY_COUNT; index += 1) this._entries.push(this._startMember(`entry-${index}`, index))
    for (let index = 0; index < ENDPOINT_COUNT; index += 1) {
      this._agents.push(this._startMember(`agent-${index}`, index))
      this._endpoints.push({ start: 0, downUntil: -Infinity, running: new Set() })
    }
    this._reportLosses()
  }

  /** Schedules harmless requests over a period. */
  load (count: number, milliseconds: number): void {
    for (let index = 0; index < count; index += 1) {
      this.world.after(this.world.uniform(0, milliseconds), undefined, () => this._request((this._harmlessRequests += 1).toString(16).padStart(16, '0'), false, false))
    }
  }

  /** Schedules repeats of one fatal request over a period, each through a random entry. */
  repeat (which: number, count: number, milliseconds: number): void {
    const fingerprint = FATAL_FINGERPRINTS[which % FATAL_FINGERPRINTS.length] ?? FATAL_FINGERPRINTS[0]
    for (let index = 0; index < count; index += 1) this.world.after(this.world.uniform(0, milliseconds), undefined, () => this._request(fingerprint, true, false))
  }

  /** Resets an entry's connections to all endpoints, which keep running. */
  resetConnections (index: number): void {
    const { process } = this._entries[index % ENTRY_COUNT] as Member
    for (const [number, endpoint] of this._endpoints.entries()) {
      for (const attempt of endpoint.running) if (attempt.process === process) this._loseAttempt(number, attempt)
    }
  }

  /** Crashes an endpoint without a request as the cause. */
  crashOne (index: number): void { this._crashEndpoint(index % ENDPOINT_COUNT) }

  /** Kills and restarts an entry. */
  restart (index: number): void {
    const position = index % ENTRY_COUNT
    this.world.kill((this._entries[position] as Member).process)
    const entry = this._startMember(`entry-${position}`, position)
    this._entries[position] = entry
    this._suspendCounting()
    if (!this._parts.informsRestartedEntries) return
    for (const agent of this._agents) this._forward(agent, [entry], { losses: agent.suspects.known(this.world.now), answers: [] })
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
    if (this._disturbedUntil === Infinity) this._suspendCounting()
  }

  settle (): void {
    this.heal()
    this.world.advance(SETTLE_TIME)
  }

  private _suspendCounting (): void { this._disturbedUntil = Math.max(this._disturbedUntil, this.world.now + DETECTION_TIME) }

  private _startMember (name: string, index: number): Member {
    return { process: new Process(name, ZONES[index % ZONES.length] ?? '', `${name}.${this.world.now}`, 0), suspects: this._parts.suspects() }
  }

  private _request (fingerprint: string, fatal: boolean, isRepeat: boolean): void {
    const entry = this.world.pick(this._entries) as Member
    if (entry.suspects.standing(fingerprint, this.world.now) !== 'held-back') return this._send({ entry, process: entry.process, fingerprint, fatal, isRepeat, attempts: 0 })
    if (!fatal) this.world.recordViolation(`no-innocents: request ${fingerprint} is held back when its caller repeats it`)
  }

  private _send (attempt: Attempt): void {
    const available = [...this._endpoints.keys()].filter(index => this._isUp(index) && this.world.connected(attempt.process, (this._agents[index] as Member).process))
    const index = this.world.pick(available)
    if (index === undefined) return
    attempt.attempts += 1
    if (attempt.fatal) this._countSend(attempt.fingerprint)
    const endpoint = this._endpoints[index] as Endpoint
    const { start } = endpoint
    endpoint.running.add(attempt)
    this.world.after(attempt.fatal ? this.world.uniform(1, MAX_TIME_TO_CRASH) : RUN_TIME, undefined, () => {
      if (endpoint.start !== start || !endpoint.running.has(attempt)) return
      if (attempt.fatal) return this._crashEndpoint(index, attempt.fingerprint)
      endpoint.running.delete(attempt)
      const { now } = this.world
      const cleared = attempt.entry.suspects.answered(attempt.fingerprint, now)
      if (cleared) this._reportToAgents(attempt.entry, { losses: [], answers: [{ fingerprint: attempt.fingerprint, age: 0 }] })
    })
    this._sendEvents(index, attempt, start)
  }

  /** Sends stream events, which show the entry that the endpoint is alive. */
  private _sendEvents (index: number, attempt: Attempt, start: number): void {
    const endpoint = this._endpoints[index] as Endpoint
    this.world.after(this.world.uniform(50, 100), attempt.process, () => {
      if (endpoint.start !== start || !endpoint.running.has(attempt)) return
      attempt.entry.suspects.lived(startName(index, start), this.world.now)
      this._sendEvents(index, attempt, start)
    })
  }

  private _isUp (index: number): boolean { return (this._endpoints[index] as Endpoint).downUntil <= this.world.now }

  private _crashEndpoint (index: number, fingerprint?: string): void {
    const endpoint = this._endpoints[index] as Endpoint
    if (!this._isUp(index)) return
    if (fingerprint !== undefined) this._crashTimes.set(fingerprint, [...this._crashTimes.get(fingerprint) ?? [], this.world.now])
    for (const attempt of endpoint.running) this._loseAttempt(index, attempt)
    endpoint.start += 1
    endpoint.downUntil = this.world.now + RESTART_TIME
  }

  private _loseAttempt (index: number, attempt: Attempt): void {
    const { start, running } = this._endpoints[index] as Endpoint
    running.delete(attempt)
    this.world.after(this.world.uniform(1, 5), attempt.process, () => {
      const { now } = this.world
      attempt.entry.suspects.lost(attempt.fingerprint, startName(index, start), now)
      if (attempt.attempts < MAX_ATTEMPTS && attempt.entry.suspects.standing(attempt.fingerprint, now) === 'clear') return this._send(attempt)
      if (!attempt.fatal && !attempt.isRepeat) this.world.after(CALLER_RETRY_DELAY, undefined, () => this._request(attempt.fingerprint, false, true))
    })
  }

  private _countSend (fingerprint: string): void {
    const { now } = this.world
    const decisive = this._crashTimes.get(fingerprint)?.[DECISIVE_LOSSES - 1]
    if (decisive === undefined || now - decisive <= DETECTION_TIME || now <= this._disturbedUntil) return
    const sends = (this._sendsAfterDetection.get(fingerprint) ?? 0) + 1
    this._sendsAfterDetection.set(fingerprint, sends)
    if (sends > MAX_SENDS_AFTER_DETECTION) this.world.recordViolation(`few-ends: a request was sent ${sends} more times, long after it had crashed three endpoints`)
  }

  private _reportLosses (): void {
    for (const entry of this._entries) this._reportToAgents(entry, { losses: entry.suspects.takeConfirmed(this.world.now), answers: [] })
    this.world.after(REPORT_INTERVAL, undefined, () => this._reportLosses())
  }

  private _reportToAgents (entry: Member, news: SuspectNews): void {
    if (isEmpty(news) || !this._parts.reportsToAgents) return
    const candidates = this._agents.filter(({ process }) => this.world.connected(entry.process, process))
    for (let reported = 0; reported < AGENTS_PER_REPORT && candidates.length > 0; reported += 1) {
      const [agent] = candidates.splice(Math.floor(this.world.random() * candidates.length), 1) as [Member]
      this.world.after(this.world.uniform(1, 8), agent.process, () => this._forward(agent, this._entries, agent.suspects.heard(news, this.world.now)))
    }
  }

  private _forward (agent: Member, entries: readonly Member[], news: SuspectNews): void {
    if (isEmpty(news)) return
    for (const entry of entries) {
      if (!this.world.connected(agent.process, entry.process)) continue
      this.world.after(this.world.uniform(1, 8), entry.process, () => {
        const { losses, answers } = entry.suspects.heard(news, this.world.now)
        this._reportToAgents(entry, { losses: losses.filter(({ fingerprint }) => entry.suspects.standing(fingerprint, this.world.now) !== 'clear'), answers })
      })
    }
  }
}

function isEmpty ({ losses, answers }: SuspectNews): boolean { return losses.length + answers.length === 0 }

function startName (index: number, start: number): string { return `endpoint-${index}@${start}` }
