/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Simulates a fleet that receives fatal requests, which crash every endpoint that starts them and arrive repeatedly, beside ordinary
 * requests. Measures how many endpoints crash, how many ordinary requests go unserved or are wrongly held back, and when the last fatal
 * request is sent.
 */
import { SuspectRequests, type SuspectStatus, type SuspectNews } from '@drumdrift/core'
import { VirtualTime } from '../policy/virtual-time.js'
import { seededRandom } from '@drumdrift/stand-ins'

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
  { entries: 98, endpoints: 120, followed: 20, perSecond: 600 }
]

/** Parameters of one simulation run. */
export interface SuspectRun extends SuspectFleet {
  readonly policy: SuspectPolicyName
  readonly seed: number
  /** Number of different fatal requests, and how often each arrives per second. */
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
  /** When the last fatal request was sent to an endpoint, in seconds from the start of the run. */
  readonly lastSend: number
}

/** An entry's record of suspect requests. */
type SuspectRecords = Pick<SuspectRequests, 'standing' | 'lost' | 'lived' | 'answered' | 'heard' | 'takeConfirmed' | 'known'>

/** Never suspects a request. */
class NeverSuspects extends SuspectRequests {
  override standing (): SuspectStatus { return 'clear' }
}

/** Recognises fatal requests in advance. */
class Omniscient extends SuspectRequests {
  override standing (fingerprint: string): SuspectStatus { return fingerprint.startsWith(FATAL) ? 'held-back' : 'clear' }
}

interface Policy {
  readonly suspects: () => SuspectRecords
  /** Whether entries share reports of suspect requests through agents. */
  readonly shares: boolean
}

const policies = {
  none: { suspects: () => new NeverSuspects(), shares: false },
  'each-entry-alone': { suspects: () => new SuspectRequests(), shares: false },
  'whole-fleet': { suspects: () => new SuspectRequests(), shares: true },
  oracle: { suspects: () => new Omniscient(), shares: false }
} satisfies Record<string, Policy>

/** The name of a policy. */
export type SuspectPolicyName = keyof typeof policies
export const suspectPolicyNames = Object.keys(policies) as SuspectPolicyName[]

/** The prefix of the fingerprints of fatal requests. */
const FATAL = 'fa'
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

interface Entry {
  suspects: SuspectRecords
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
  readonly fingerprint: string
  readonly isRetry: boolean
}

interface Attempt {
  readonly request: Request
  readonly entry: Entry
  readonly incarnation: number
  readonly number: number
  started: boolean
}

class SuspectModel {
  private readonly _time = new VirtualTime()
  private readonly _random: () => number
  private readonly _policy: Policy
  private readonly _entries: Entry[]
  private readonly _endpoints: Endpoint[]
  private _requestCount = 0
  private _unserved = 0
  private _heldBack = 0
  private _crashes = 0
  private _lastSend = 0

  constructor (private readonly _run: SuspectRun) {
    this._random = seededRandom(_run.seed)
    this._policy = policies[_run.policy]
    this._endpoints = Array.from({ length: _run.endpoints }, () => ({ restarts: 0, upAt: 0, agent: new SuspectRequests(), followers: [], running: new Set<Attempt>() }))
    this._entries = Array.from({ length: _run.entries }, (_, index) => this._newEntry(index))
  }

  run (): SuspectFigures {
    const { fatal, fatalPerSecond, perSecond, restartEvery, seconds } = this._run
    this._scheduleArrivals(perSecond, () => {
      this._requestCount += 1
      this._submit({ fingerprint: this._fingerprint('0', this._requestCount), isRetry: false })
    })
    for (let index = 0; index < fatal; index += 1) this._scheduleArrivals(fatalPerSecond, () => this._submit({ fingerprint: this._fingerprint(FATAL, index), isRetry: true }))
    if (restartEvery !== undefined) this._repeat(restartEvery * 1_000, () => this._restart())
    this._repeat(SHARE_INTERVAL, () => { for (const entry of this._entries) this._sendReport(entry, { losses: entry.suspects.takeConfirmed(this._time.now), answers: [] }) })
    this._time.runUntil(seconds * 1_000)
    return { endpointsCrashed: this._crashes, unserved: this._unserved / this._requestCount, heldBack: this._heldBack / this._requestCount, lastSend: this._lastSend / 1_000 }
  }

  private _newEntry (index: number): Entry {
    const followed = this._shuffled(this._run.endpoints).slice(0, this._run.followed)
    for (const endpoint of followed) this._endpoints[endpoint]?.followers.push(index)
    return { suspects: this._policy.suspects(), incarnation: 0, followed }
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
      entry.suspects = this._policy.suspects()
      if (this._policy.shares) for (const index of entry.followed) this._receiveReport(entry, { losses: (this._endpoints[index] as Endpoint).agent.known(this._time.now), answers: [] })
    }
  }

  private _submit (request: Request): void {
    const entry = this._entries[Math.floor(this._random() * this._entries.length)] as Entry
    if (entry.suspects.standing(request.fingerprint, this._time.now) !== 'held-back') return this._send(request, entry, 1)
    if (!isFatal(request)) this._heldBack += 1
  }

  private _send (request: Request, entry: Entry, number: number): void {
    const up = entry.followed.filter(index => (this._endpoints[index] as Endpoint).upAt <= this._time.now)
    const index = up[Math.floor(this._random() * up.length)]
    if (index === undefined) return this._fail(request)
    if (isFatal(request)) this._lastSend = this._time.now
    const endpoint = this._endpoints[index] as Endpoint
    const attempt: Attempt = { request, entry, incarnation: entry.incarnation, number, started: false }
    endpoint.running.add(attempt)
    this._time.after(START_DELAY, () => { if (endpoint.running.has(attempt)) this._start(index, endpoint, attempt) })
  }

  private _start (index: number, endpoint: Endpoint, attempt: Attempt): void {
    attempt.started = true
    if (isFatal(attempt.request)) return this._time.after(TIME_TO_CRASH, () => { if (endpoint.running.has(attempt)) this._crash(index, endpoint) })
    this._event(index, endpoint, attempt, this._time.now + RUN_TIME)
  }

  private _event (index: number, endpoint: Endpoint, attempt: Attempt, until: number): void {
    if (!endpoint.running.has(attempt)) return
    const { entry, request } = attempt
    if (entry.incarnation === attempt.incarnation) entry.suspects.lived(endpointName(index, endpoint.restarts), this._time.now)
    if (this._time.now < until) return this._time.after(EVENT_INTERVAL, () => this._event(index, endpoint, attempt, until))
    endpoint.running.delete(attempt)
    if (entry.incarnation === attempt.incarnation && entry.suspects.answered(request.fingerprint, this._time.now)) this._sendReport(entry, { losses: [], answers: [{ fingerprint: request.fingerprint, age: 0 }] })
  }

  private _crash (index: number, endpoint: Endpoint): void {
    this._crashes += 1
    const name = endpointName(index, endpoint.restarts)
    const running = [...endpoint.running]
    endpoint.running.clear()
    endpoint.restarts += 1
    endpoint.upAt = this._time.now + DOWN_TIME
    for (const attempt of running) this._time.after(LATENCY, () => this._attemptLost(name, attempt))
  }

  private _attemptLost (name: string, { request, entry, incarnation, number }: Attempt): void {
    if (entry.incarnation !== incarnation) return this._fail(request)
    const { now } = this._time
    entry.suspects.lost(request.fingerprint, name, now)
    if (number < MAX_ATTEMPTS && entry.suspects.standing(request.fingerprint, now) === 'clear') this._send(request, entry, number + 1)
    else this._fail(request)
  }

  private _fail (request: Request): void {
    if (isFatal(request)) return
    if (request.isRetry) this._unserved += 1
    else this._time.after(CALLER_RETRY_DELAY, () => this._submit({ ...request, isRetry: true }))
  }

  private _sendReport (entry: Entry, report: SuspectNews): void {
    if (!this._policy.shares || isEmpty(report)) return
    const agents = this._shuffled(entry.followed.length).slice(0, AGENTS_PER_REPORT).map(position => this._endpoints[entry.followed[position] as number] as Endpoint)
    for (const { agent, followers } of agents) this._time.after(LATENCY, () => this._forward(followers, agent.heard(report, this._time.now)))
  }

  private _forward (followers: readonly number[], report: SuspectNews): void {
    if (isEmpty(report)) return
    for (const index of followers) this._time.after(LATENCY, () => this._receiveReport(this._entries[index] as Entry, report))
  }

  private _receiveReport (entry: Entry, report: SuspectNews): void {
    const { losses, answers } = entry.suspects.heard(report, this._time.now)
    this._sendReport(entry, { losses: losses.filter(({ fingerprint }) => entry.suspects.standing(fingerprint, this._time.now) !== 'clear'), answers })
    for (const endpoint of this._endpoints) this._withdraw(endpoint, entry)
  }

  /** Removes an entry's attempts that have not started and whose request is now held back. */
  private _withdraw ({ running }: Endpoint, entry: Entry): void {
    for (const attempt of running) {
      const heldBack = attempt.entry === entry && !attempt.started && entry.suspects.standing(attempt.request.fingerprint, this._time.now) === 'held-back'
      if (heldBack) running.delete(attempt)
    }
  }

  /** Returns the numbers from 0 to `count - 1` in random order. */
  private _shuffled (count: number): number[] {
    return Array.from({ length: count }, (_, index) => ({ index, order: this._random() })).sort((left, right) => left.order - right.order).map(({ index }) => index)
  }
}

function isFatal ({ fingerprint }: Request): boolean { return fingerprint.startsWith(FATAL) }
function endpointName (index: number, restarts: number): string { return `endpoint-${index}@${restarts}` }
function isEmpty ({ losses, answers }: SuspectNews): boolean { return losses.length + answers.length === 0 }

/**
 * Runs the simulation once.
 *
 * @example
 * const { endpointsCrashed } = simulateSuspects({ ...suspectFleets[0], policy: 'whole-fleet', seed: 7, fatal: 1, fatalPerSecond: 10, restartEvery: undefined, seconds: 20 })
 */
export function simulateSuspects (run: SuspectRun): SuspectFigures { return new SuspectModel(run).run() }
