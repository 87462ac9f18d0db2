/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Simulates a fleet that receives fatal requests beside ordinary ones. Each fatal request crashes every endpoint that starts it: either
 * the same request arrives repeatedly, or all are different and share one part of their prompts. Measures how many endpoints crash, how
 * many ordinary requests go unserved or are wrongly held back, and how many fatal requests are sent after they should be known.
 */
import { CRASH_WINDOW, SuspectRequests, SuspectVerdicts, type RequestTrait, type SuspectNews, type SuspectSubject } from '@drumdrift/core'
import { VirtualTime } from '../policy/virtual-time.js'
import { seededRandom } from '@drumdrift/stand-ins'
import { FATAL, suspectPolicies, type SuspectPolicy, type SuspectPolicyName } from './suspect-policies.js'

/** Entries, endpoints and their traffic. */
export interface SuspectFleet {
  readonly entries: number
  readonly endpoints: number
  /** Number of endpoints whose agents an entry follows. */
  readonly followed: number
  /** Ordinary requests per second. */
  readonly perSecond: number
}

/** Fleets of three sizes, with about 5 requests per second for each endpoint. */
export const suspectFleets: readonly SuspectFleet[] = [
  { entries: 6, endpoints: 12, followed: 12, perSecond: 60 },
  { entries: 24, endpoints: 24, followed: 24, perSecond: 120 },
  { entries: 98, endpoints: 120, followed: 20, perSecond: 600 },
  { entries: 380, endpoints: 480, followed: 20, perSecond: 2_400 }
]

/** Prompts of ordinary requests: a part for each organisation, one of many documents, and a part of their own. */
export interface PromptShape {
  readonly organisations: number
  readonly documents: number
}

/** Fatal requests or parts, and crashes for other causes beside them. */
export type SuspectLoad = Pick<SuspectRun, 'fatal' | 'fatalPerSecond' | 'otherCrashesPerSecond' | 'powerLostAt'>

/** Loads with fatal parts of prompts, by name. */
export const partLoads = {
  'one part, once a second': { fatal: 1, fatalPerSecond: 1 },
  'one part, 4 times a second': { fatal: 1, fatalPerSecond: 4 },
  'one part, 40 times a second': { fatal: 1, fatalPerSecond: 40 },
  'three parts, 4 times a second each': { fatal: 3, fatalPerSecond: 4 },
  'one part beside endpoints that crash for other causes': { fatal: 1, fatalPerSecond: 4, otherCrashesPerSecond: 1 },
  'endpoints that crash for other causes alone': { fatal: 0, fatalPerSecond: 0, otherCrashesPerSecond: 1 },
  'all endpoints crash at once': { fatal: 0, fatalPerSecond: 0, powerLostAt: 8 }
} satisfies Record<string, SuspectLoad>

/** Parameters of one simulation run. */
export interface SuspectRun extends SuspectFleet {
  readonly policy: SuspectPolicyName
  readonly seed: number
  /** What fatal requests have in common: everything, or one part of their prompts. */
  readonly fatalKind: RequestTrait['kind']
  readonly prompts?: PromptShape | undefined
  /** When fatal requests begin to arrive, in seconds; from the start if absent. */
  readonly fatalFrom?: number | undefined
  /** Endpoints that crash for other causes per second. */
  readonly otherCrashesPerSecond?: number | undefined
  /** When all endpoints crash at once, in seconds. */
  readonly powerLostAt?: number | undefined
  /** Number of different fatal requests or parts, and how often each arrives per second. */
  readonly fatal: number
  readonly fatalPerSecond: number
  /** Seconds between restarts of one entry in ten; `undefined` for no restarts. */
  readonly restartEvery: number | undefined
  readonly seconds: number
}

/** Results of one simulation run. */
export interface SuspectFigures {
  readonly endpointsCrashed: number
  /** Shares of the ordinary requests that were not served and that were held back. */
  readonly unserved: number
  readonly heldBack: number
  /** Crashes caused by fatal requests, the most of one request or part. */
  readonly mostCrashes: number
  /** Fatal requests sent later than the allowed time after five crashes, the most of one request or part. */
  readonly lateSends: number
  /** Share of the ordinary requests that were served from twice the allowed time after the fifth crash on, or the last if there were fewer. */
  readonly servedLater: number
  /** When the last fatal request was sent to an endpoint, in seconds from the start of the run. */
  readonly lastSend: number
}

const FINGERPRINT_LENGTH = 16
const MAX_ATTEMPTS = 2
/** How long a request waits before an endpoint starts it, and how long it then runs, in milliseconds. */
const START_DELAY = 300
const RUN_TIME = 1_200
/** The time from the start of a fatal request to the crash of its endpoint, and from the crash until the endpoint is up again, in milliseconds. */
const TIME_TO_CRASH = 80
const DOWN_TIME = 3_000
/** The delay after which a caller retries a failed request once, in milliseconds. */
const CALLER_RETRY_DELAY = 100
/** The interval at which entries share reports, the one-way latency between processes, and the pause between the events of a response, in milliseconds. */
const SHARE_INTERVAL = 100
const LATENCY = 3
const EVENT_INTERVAL = 75
const AGENTS_PER_REPORT = 6
const RESTARTED_SHARE = 0.1
/** The number of crashes after which a fatal request or part must be known, and the time allowed after that, in milliseconds. */
const DECISIVE_CRASHES = 5
const DETECTION_TIME = 3_000
/** Requests that are submitted later before the end of a run may not be answered in it, in milliseconds. */
const SETTLE_TIME = 2_000
const SCOPE = 'model'

interface Entry {
  suspects: SuspectRequests
  verdicts: SuspectVerdicts
  /** Incremented at each restart; attempts in flight at a restart are lost. */
  incarnation: number
  readonly followed: readonly number[]
}

interface Endpoint {
  restarts: number
  upAt: number
  readonly agent: SuspectRequests
  readonly followers: number[]
  readonly running: Set<Attempt>
}

interface Request {
  readonly subject: SuspectSubject
  /** The fatal request or part; `undefined` for an ordinary request. */
  readonly fatal: number | undefined
  readonly isRetry: boolean
  readonly submittedAt: number
}

/** What has happened because of one fatal request or part. */
interface FatalHistory {
  crashes: number
  /** When it had caused enough crashes to be known, or the last one if there were fewer. */
  knownAt: number
  lateSends: number
}

interface Attempt {
  readonly request: Request
  readonly entry: Entry
  readonly incarnation: number
  readonly number: number
  startedAt: number | undefined
  survived: boolean
}

class SuspectModel {
  private readonly _time = new VirtualTime()
  private readonly _random: () => number
  private readonly _policy: SuspectPolicy
  private readonly _entries: Entry[]
  private readonly _endpoints: Endpoint[]
  private _requestCount = 0
  private _unserved = 0
  private _heldBack = 0
  private _crashes = 0
  private _lastSend = 0
  private readonly _fatal: FatalHistory[]
  /** When ordinary requests were submitted for the first time, and when those that were served at once were. */
  private readonly _submittedAt: number[] = []
  private readonly _servedSubmittedAt: number[] = []

  constructor (private readonly _run: SuspectRun) {
    this._random = seededRandom(_run.seed)
    this._policy = suspectPolicies[_run.policy]
    this._fatal = Array.from({ length: _run.fatal }, () => ({ crashes: 0, knownAt: -Infinity, lateSends: 0 }))
    this._endpoints = Array.from({ length: _run.endpoints }, () => ({ restarts: 0, upAt: 0, agent: new SuspectRequests(), followers: [], running: new Set<Attempt>() }))
    this._entries = Array.from({ length: _run.entries }, (_, index) => this._newEntry(index))
  }

  run (): SuspectFigures {
    const { fatal, fatalFrom = 0, fatalPerSecond, perSecond, otherCrashesPerSecond = 0, powerLostAt, restartEvery, seconds } = this._run
    this._scheduleArrivals(perSecond, () => {
      this._requestCount += 1
      this._submitOrdinary()
    })
    for (let index = 0; index < fatal; index += 1) this._time.after(fatalFrom * 1_000, () => this._scheduleArrivals(fatalPerSecond, () => this._submit(this._newFatal(index))))
    if (otherCrashesPerSecond > 0) this._scheduleArrivals(otherCrashesPerSecond, () => this._crash(Math.floor(this._random() * this._endpoints.length)))
    if (powerLostAt !== undefined) this._time.after(powerLostAt * 1_000, () => { for (const index of this._endpoints.keys()) this._crash(index) })
    if (restartEvery !== undefined) this._repeat(restartEvery * 1_000, () => this._restart())
    this._repeat(SHARE_INTERVAL, () => { for (const entry of this._entries) this._sendReport(entry, { losses: entry.suspects.takeConfirmed(this._time.now), answers: [] }) })
    this._time.runUntil(seconds * 1_000)
    const known = Math.max(...this._fatal.map(({ knownAt }) => knownAt)) + 2 * DETECTION_TIME
    const countLater = (times: readonly number[]): number => times.filter(at => at > known && at < seconds * 1_000 - SETTLE_TIME).length
    return {
      endpointsCrashed: this._crashes,
      mostCrashes: Math.max(0, ...this._fatal.map(({ crashes }) => crashes)),
      lateSends: Math.max(0, ...this._fatal.map(({ lateSends }) => lateSends)),
      unserved: this._unserved / this._requestCount,
      heldBack: this._heldBack / this._requestCount,
      servedLater: countLater(this._servedSubmittedAt) / Math.max(1, countLater(this._submittedAt)),
      lastSend: this._lastSend / 1_000
    }
  }

  private _submitOrdinary (): void {
    const { prompts } = this._run
    const own: RequestTrait = { kind: 'request', fingerprint: this._fingerprint('0', this._requestCount) }
    this._submit({ subject: { scope: SCOPE, traits: [own, ...this._sharedParts(prompts)] }, fatal: undefined, isRetry: false, submittedAt: this._time.now })
  }

  private _newFatal (index: number): Request {
    const { fatalKind, prompts } = this._run
    const number = fatalKind === 'request' ? index : Math.floor(this._random() * Number.MAX_SAFE_INTEGER)
    const own: RequestTrait = { kind: 'request', fingerprint: this._fingerprint(FATAL, number).slice(0, FINGERPRINT_LENGTH) }
    const part: RequestTrait = { kind: 'prompt-part', fingerprint: this._fingerprint('bad', index) }
    const traits = fatalKind === 'request' || !this._policy.parts ? [own] : [own, part, ...this._sharedParts(prompts)]
    return { subject: { scope: SCOPE, traits }, fatal: index, isRetry: true, submittedAt: this._time.now }
  }

  /** Some organisations and documents are much more popular than others. */
  private _sharedParts (prompts: PromptShape | undefined): RequestTrait[] {
    if (prompts === undefined || !this._policy.parts) return []
    const draw = (count: number): number => Math.floor(count ** this._random()) - 1
    return [this._fingerprint('1', draw(prompts.organisations)), this._fingerprint('2', draw(prompts.documents))].map(fingerprint => ({ kind: 'prompt-part', fingerprint }))
  }

  private _newEntry (index: number): Entry {
    const followed = this._shuffled(this._run.endpoints).slice(0, this._run.followed)
    for (const endpoint of followed) this._endpoints[endpoint]?.followers.push(index)
    return { ...this._newRecords(), incarnation: 0, followed }
  }

  private _newRecords (): Pick<Entry, 'suspects' | 'verdicts'> {
    const suspects = this._policy.suspects()
    return { suspects, verdicts: new SuspectVerdicts({ evidence: suspects, random: this._random, entries: () => this._run.entries }, this._time.now) }
  }

  private _fingerprint (kind: string, number: number): string { return kind + number.toString(16).padStart(16 - kind.length, '0') }

  private _scheduleArrivals (perSecond: number, arrive: () => void): void {
    this._time.after(-Math.log(1 - this._random()) / perSecond * 1_000, () => {
      arrive()
      this._scheduleArrivals(perSecond, arrive)
    })
  }

  private _repeat (milliseconds: number, run: () => void): void {
    this._time.after(milliseconds, () => {
      run()
      this._repeat(milliseconds, run)
    })
  }

  private _restart (): void {
    for (const entry of this._entries) {
      if (this._random() >= RESTARTED_SHARE) continue
      entry.incarnation += 1
      Object.assign(entry, this._newRecords())
      if (this._policy.shares) for (const index of entry.followed) this._receiveReport(entry, { losses: (this._endpoints[index] as Endpoint).agent.known(this._time.now), answers: [] })
    }
  }

  private _submit (request: Request): void {
    const entry = this._entries[Math.floor(this._random() * this._entries.length)] as Entry
    if (!request.isRetry) this._submittedAt.push(this._time.now)
    if (entry.verdicts.admits(request.subject, this._time.now)) return this._send(request, entry, 1)
    if (!isFatal(request)) this._heldBack += 1
  }

  private _send (request: Request, entry: Entry, number: number): void {
    const up = entry.followed.filter(index => (this._endpoints[index] as Endpoint).upAt <= this._time.now)
    const index = up[Math.floor(this._random() * up.length)]
    if (index === undefined) return this._fail(request)
    if (request.fatal !== undefined) this._countSend(request.fatal)
    const endpoint = this._endpoints[index] as Endpoint
    const attempt: Attempt = { request, entry, incarnation: entry.incarnation, number, startedAt: undefined, survived: false }
    endpoint.running.add(attempt)
    this._time.after(START_DELAY, () => { if (endpoint.running.has(attempt)) this._start(index, endpoint, attempt) })
  }

  private _countSend (fatal: number): void {
    const history = this._fatal[fatal] as FatalHistory
    this._lastSend = this._time.now
    if (history.crashes >= DECISIVE_CRASHES && this._time.now > history.knownAt + DETECTION_TIME) history.lateSends += 1
  }

  private _start (index: number, endpoint: Endpoint, attempt: Attempt): void {
    attempt.startedAt = this._time.now
    const { fatal } = attempt.request
    if (fatal !== undefined) return this._time.after(TIME_TO_CRASH, () => { if (endpoint.running.has(attempt)) this._crash(index, fatal) })
    this._event(index, endpoint, attempt, this._time.now + RUN_TIME)
  }

  private _event (index: number, endpoint: Endpoint, attempt: Attempt, until: number): void {
    if (!endpoint.running.has(attempt)) return
    const { entry, request } = attempt
    if (entry.incarnation === attempt.incarnation) {
      entry.suspects.lived(endpointName(index, endpoint.restarts), this._time.now)
      this._recordSurvival(attempt)
    }
    if (this._time.now < until) return this._time.after(EVENT_INTERVAL, () => this._event(index, endpoint, attempt, until))
    endpoint.running.delete(attempt)
    if (!request.isRetry) this._servedSubmittedAt.push(request.submittedAt)
    if (entry.incarnation === attempt.incarnation) this._sendReport(entry, { losses: [], answers: entry.verdicts.answered(request.subject, this._time.now) })
  }

  private _recordSurvival (attempt: Attempt): void {
    const { entry, request, startedAt = this._time.now } = attempt
    if (attempt.survived || this._time.now - startedAt <= CRASH_WINDOW) return
    attempt.survived = true
    this._sendReport(entry, { losses: [], answers: entry.verdicts.survived(request.subject, this._time.now) })
  }

  /** @param fatal The fatal request or part that causes the crash; `undefined` for another cause. */
  private _crash (index: number, fatal?: number): void {
    const endpoint = this._endpoints[index] as Endpoint
    if (endpoint.upAt > this._time.now) return
    this._crashes += 1
    if (fatal !== undefined) this._countCrash(fatal)
    const name = endpointName(index, endpoint.restarts)
    const running = [...endpoint.running]
    endpoint.running.clear()
    endpoint.restarts += 1
    endpoint.upAt = this._time.now + DOWN_TIME
    for (const attempt of running) this._time.after(LATENCY, () => this._attemptLost(name, attempt))
  }

  private _countCrash (fatal: number): void {
    const history = this._fatal[fatal] as FatalHistory
    history.crashes += 1
    if (history.crashes <= DECISIVE_CRASHES) history.knownAt = this._time.now
  }

  private _attemptLost (name: string, { request, entry, incarnation, number, startedAt }: Attempt): void {
    if (entry.incarnation !== incarnation) return this._fail(request)
    const { now } = this._time
    entry.verdicts.lost(request.subject, name, startedAt === undefined ? 0 : now - startedAt, now)
    if (this._policy.probes) this._time.after(2 * LATENCY, () => this._confirm(entry, name))
    const mayRetry = entry.verdicts.standing(request.subject, now) === 'clear' && (this._policy.retriesUnknownParts || this._isKnown(entry, request))
    if (number < MAX_ATTEMPTS && mayRetry) this._send(request, entry, number + 1)
    else this._fail(request)
  }

  private _confirm (entry: Entry, name: string): void {
    entry.suspects.confirm(name)
    this._sendReport(entry, { losses: entry.suspects.takeConfirmed(this._time.now), answers: [] })
  }

  /** Whether requests with each part of a prompt were answered lately. */
  private _isKnown ({ suspects }: Entry, { subject }: Request): boolean {
    return subject.traits.every(({ kind, fingerprint }) => kind === 'request' || suspects.isCleared(fingerprint, this._time.now))
  }

  private _fail (request: Request): void {
    if (isFatal(request)) return
    if (request.isRetry) this._unserved += 1
    else this._time.after(CALLER_RETRY_DELAY, () => this._submit({ ...request, isRetry: true }))
  }

  private _sendReport (entry: Entry, report: SuspectNews): void {
    if (!this._policy.shares || isEmpty(report)) return
    const agents = this._shuffled(entry.followed.length).slice(0, AGENTS_PER_REPORT).map(position => this._endpoints[entry.followed[position] as number] as Endpoint)
    for (const { agent, followers } of agents) {
      this._time.after(LATENCY, () => {
        this._forward(followers, agent.heard(report, this._time.now))
        const answers = agent.contradictions(report.losses, this._time.now)
        if (answers.length > 0) this._time.after(LATENCY, () => this._receiveReport(entry, { losses: [], answers }))
      })
    }
  }

  private _forward (followers: readonly number[], report: SuspectNews): void {
    if (isEmpty(report)) return
    for (const index of followers) this._time.after(LATENCY, () => this._receiveReport(this._entries[index] as Entry, report))
  }

  private _receiveReport (entry: Entry, report: SuspectNews): void {
    this._sendReport(entry, entry.suspects.relay(report, this._time.now))
    for (const endpoint of this._endpoints) this._withdraw(endpoint, entry)
  }

  /** Removes an entry's attempts that have not started and whose request is now held back. */
  private _withdraw ({ running }: Endpoint, entry: Entry): void {
    for (const attempt of running) {
      const heldBack = attempt.entry === entry && attempt.startedAt === undefined && entry.verdicts.standing(attempt.request.subject, this._time.now) === 'held-back'
      if (heldBack) running.delete(attempt)
    }
  }

  /** Returns the numbers from 0 to `count - 1` in random order. */
  private _shuffled (count: number): number[] {
    return Array.from({ length: count }, (_, index) => ({ index, order: this._random() })).sort((left, right) => left.order - right.order).map(({ index }) => index)
  }
}

function isFatal ({ fatal }: Request): boolean { return fatal !== undefined }
function endpointName (index: number, restarts: number): string { return `endpoint-${index}@${restarts}` }
function isEmpty ({ losses, answers }: SuspectNews): boolean { return losses.length + answers.length === 0 }

/**
 * Runs the simulation once.
 *
 * @example
 * const { endpointsCrashed } = simulateSuspects({ ...suspectFleets[0], policy: 'whole-fleet', seed: 7, fatalKind: 'request', fatal: 1, fatalPerSecond: 10, restartEvery: undefined, seconds: 20 })
 */
export function simulateSuspects (run: SuspectRun): SuspectFigures { return new SuspectModel(run).run() }
