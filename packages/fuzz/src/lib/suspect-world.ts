/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Entries, agents and endpoints while some requests crash every endpoint that runs them, with the real evidence on suspect requests.
 * Fatal requests are copies of one, or different requests that share a fatal part of their prompts. The oracles count the sends of a
 * fatal request or part after the crashes that suffice to hold it back, and the harmless requests held back.
 */
import { SuspectRequests, SuspectVerdicts, type RequestTrait, type SuspectNews, type SuspectSubject } from '@drumdrift/core'
import { Process, World } from './world.js'

/** The parts whose protections a variant may remove. */
export interface SuspectParts {
  readonly suspects: () => SuspectRequests
  /** Whether entries report losses to agents. */
  readonly reportsToAgents: boolean
  /** Whether agents send the known losses to restarted entries. */
  readonly informsRestartedEntries: boolean
  /** Whether prompts are evaluated by their parts. */
  readonly evaluatesParts: boolean
  /** Whether answers clear the parts of their prompts. */
  readonly answersClearParts: boolean
}

/** The product's own parts. */
export const realSuspectParts: SuspectParts = { suspects: () => new SuspectRequests(), reportsToAgents: true, informsRestartedEntries: true, evaluatesParts: true, answersClearParts: true }

interface Member {
  process: Process
  suspects: SuspectRequests
  verdicts: SuspectVerdicts
}

interface Endpoint {
  /** Number of restarts. */
  start: number
  downUntil: number
  readonly running: Set<Attempt>
}

interface Request {
  readonly subject: SuspectSubject
  /** The fingerprint of the request or part that crashes endpoints; `undefined` if it is harmless. */
  readonly fatal: string | undefined
}

interface Attempt {
  readonly entry: Member
  readonly process: Process
  readonly request: Request
  /** Whether this is the caller's repeat of a request that was not answered. */
  readonly isRepeat: boolean
  attempts: number
}

const ZONES = ['koshi', 'bagmati', 'gandaki'] as const
const ENTRY_COUNT = 6
const ENDPOINT_COUNT = 12
const FATAL_FINGERPRINTS = ['fa00000000000001', 'fa00000000000002'] as const
const FATAL_PARTS = ['ba00000000000001', 'ba00000000000002'] as const
/** A part that the prompts of all harmless requests, and of those with a fatal part, contain. */
const COMMON_PART: RequestTrait = { kind: 'prompt-part', fingerprint: 'c000000000000001' }
/** An answer clears a part from the first time after it, when all entries know it, up to the second, in milliseconds. */
const ANSWER_SHARED_TIME = 1_500
const ANSWER_LIFETIME = 30_000
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
/** Number of crashes after which a request, or a part, must be held back. */
const DECISIVE_CRASHES: Record<RequestTrait['kind'], number> = { request: 3, 'prompt-part': 5 }
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
  private _requestCount = 0
  /** When requests with the common part were answered. */
  private readonly _commonAnsweredAt: number[] = []
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
      this.world.after(this.world.uniform(0, milliseconds), undefined, () => this._request({ subject: this._subject(this._newRequest(), COMMON_PART), fatal: undefined }, false))
    }
  }

  /** Schedules repeats of one fatal request over a period, each through a random entry. */
  repeat (which: number, count: number, milliseconds: number): void {
    const fingerprint = FATAL_FINGERPRINTS[which % FATAL_FINGERPRINTS.length] ?? FATAL_FINGERPRINTS[0]
    const request: Request = { subject: this._subject({ kind: 'request', fingerprint }), fatal: fingerprint }
    for (let index = 0; index < count; index += 1) this.world.after(this.world.uniform(0, milliseconds), undefined, () => this._request(request, false))
  }

  /** Schedules different requests with one fatal part over a period, each through a random entry. */
  repeatPart (which: number, count: number, milliseconds: number): void {
    const fatal = FATAL_PARTS[which % FATAL_PARTS.length] ?? FATAL_PARTS[0]
    const part: RequestTrait = { kind: 'prompt-part', fingerprint: fatal }
    for (let index = 0; index < count; index += 1) {
      this.world.after(this.world.uniform(0, milliseconds), undefined, () => this._request({ subject: this._subject(this._newRequest(), COMMON_PART, part), fatal }, false))
    }
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
    const suspects = this._parts.suspects()
    const verdicts = new SuspectVerdicts({ evidence: suspects, random: () => this.world.random(), entries: () => ENTRY_COUNT }, this.world.now)
    return { process: new Process(name, ZONES[index % ZONES.length] ?? '', `${name}.${this.world.now}`, 0), suspects, verdicts }
  }

  private _newRequest (): RequestTrait {
    this._requestCount += 1
    return { kind: 'request', fingerprint: this._requestCount.toString(16).padStart(16, '0') }
  }

  private _subject (...traits: readonly RequestTrait[]): SuspectSubject {
    return { scope: 'model', traits: traits.filter(({ kind }) => kind === 'request' || this._parts.evaluatesParts) }
  }

  private _request (request: Request, isRepeat: boolean): void {
    const entry = this.world.pick(this._entries) as Member
    if (entry.verdicts.admits(request.subject, this.world.now)) return this._send({ entry, process: entry.process, request, isRepeat, attempts: 0 })
    if (request.fatal === undefined) this._checkHeldBack(entry, request.subject)
  }

  /** A harmless request may be held back because of a part only while no answer has cleared the part. */
  private _checkHeldBack ({ verdicts }: Member, subject: SuspectSubject): void {
    const { now } = this.world
    const trait = verdicts.decisiveTrait(subject, now)
    if (trait?.kind === 'request') return this.world.recordViolation(`no-innocents: request ${trait.fingerprint} is held back when its caller repeats it`)
    const isCleared = this._commonAnsweredAt.some(at => now - at >= ANSWER_SHARED_TIME && now - at <= ANSWER_LIFETIME)
    if (isCleared && now > this._disturbedUntil) this.world.recordViolation('no-innocents: a request is held back because of a part of which another was answered')
  }

  private _send (attempt: Attempt): void {
    const available = [...this._endpoints.keys()].filter(index => this._isUp(index) && this.world.connected(attempt.process, (this._agents[index] as Member).process))
    const index = this.world.pick(available)
    if (index === undefined) return
    attempt.attempts += 1
    const { fatal, subject } = attempt.request
    if (fatal !== undefined) this._countSend(fatal)
    const endpoint = this._endpoints[index] as Endpoint
    const { start } = endpoint
    endpoint.running.add(attempt)
    this.world.after(fatal !== undefined ? this.world.uniform(1, MAX_TIME_TO_CRASH) : RUN_TIME, undefined, () => {
      if (endpoint.start !== start || !endpoint.running.has(attempt)) return
      if (fatal !== undefined) return this._crashEndpoint(index, fatal)
      endpoint.running.delete(attempt)
      const { now } = this.world
      this._commonAnsweredAt.push(now)
      const answered = this._parts.answersClearParts ? subject : { ...subject, traits: subject.traits.slice(0, 1) }
      this._reportToAgents(attempt.entry, { losses: [], answers: attempt.entry.verdicts.answered(answered, now) })
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
    for (const attempt of endpoint.running) {
      this._loseAttempt(index, attempt)
      this._confirmCrash(attempt, startName(index, endpoint.start))
    }
    endpoint.start += 1
    endpoint.downUntil = this.world.now + RESTART_TIME
  }

  private _loseAttempt (index: number, attempt: Attempt): void {
    const { start, running } = this._endpoints[index] as Endpoint
    running.delete(attempt)
    this.world.after(this.world.uniform(1, 5), attempt.process, () => {
      const { now } = this.world
      const { entry, request: { subject, fatal } } = attempt
      entry.verdicts.lost(subject, startName(index, start), 0, now)
      if (attempt.attempts < MAX_ATTEMPTS && entry.verdicts.standing(subject, now) === 'clear') return this._send(attempt)
      if (fatal === undefined && !attempt.isRepeat) this.world.after(CALLER_RETRY_DELAY, undefined, () => this._request(attempt.request, true))
    })
  }

  /** An entry finds out that an endpoint accepts no connections. */
  private _confirmCrash ({ entry, process }: Attempt, start: string): void {
    this.world.after(this.world.uniform(6, 15), process, () => {
      entry.suspects.confirm(start)
      this._reportToAgents(entry, { losses: entry.suspects.takeConfirmed(this.world.now), answers: [] })
    })
  }

  private _countSend (fingerprint: string): void {
    const { now } = this.world
    const kind: RequestTrait['kind'] = FATAL_PARTS.some(part => part === fingerprint) ? 'prompt-part' : 'request'
    const decisive = this._crashTimes.get(fingerprint)?.[DECISIVE_CRASHES[kind] - 1]
    if (decisive === undefined || now - decisive <= DETECTION_TIME || now <= this._disturbedUntil) return
    const sends = (this._sendsAfterDetection.get(fingerprint) ?? 0) + 1
    this._sendsAfterDetection.set(fingerprint, sends)
    if (sends > MAX_SENDS_AFTER_DETECTION) this.world.recordViolation(`few-ends: a request was sent ${sends} more times, long after it had crashed ${DECISIVE_CRASHES[kind]} endpoints`)
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
      this.world.after(this.world.uniform(1, 8), agent.process, () => {
        this._forward(agent, this._entries, agent.suspects.heard(news, this.world.now))
        this._forward(agent, [entry], { losses: [], answers: agent.suspects.contradictions(news.losses, this.world.now) })
      })
    }
  }

  private _forward (agent: Member, entries: readonly Member[], news: SuspectNews): void {
    if (isEmpty(news)) return
    for (const entry of entries) {
      if (!this.world.connected(agent.process, entry.process)) continue
      this.world.after(this.world.uniform(1, 8), entry.process, () => {
        this._reportToAgents(entry, entry.suspects.relay(news, this.world.now))
      })
    }
  }
}

function isEmpty ({ losses, answers }: SuspectNews): boolean { return losses.length + answers.length === 0 }

function startName (index: number, start: number): string { return `endpoint-${index}@${start}` }
