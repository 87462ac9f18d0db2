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
import { SuspectRequests, type Standing, type SuspectNews } from '@drumdrift/core'
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
export interface SuspectPlay extends SuspectFleet {
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
  readonly endpointsEnded: number
  /** Shares of the ordinary requests that were not served and that were held back. */
  readonly unserved: number
  readonly heldBack: number
  /** When the last fatal request was sent to an endpoint, in seconds from the start of the run. */
  readonly lastSend: number
}

/** An entry's record of suspect requests. */
type Evidence = Pick<SuspectRequests, 'standing' | 'lost' | 'lived' | 'answered' | 'heard' | 'takeConfirmed' | 'known'>

/** Never suspects a request. */
class Unaware extends SuspectRequests {
  override standing (): Standing { return 'clear' }
}

/** Recognises fatal requests in advance. */
class AllKnowing extends SuspectRequests {
  override standing (fingerprint: string): Standing { return fingerprint.startsWith(FATAL) ? 'held-back' : 'clear' }
}

interface Policy {
  readonly evidence: () => Evidence
  /** Whether entries share reports of suspect requests through agents. */
  readonly shares: boolean
}

const policies = {
  none: { evidence: () => new Unaware(), shares: false },
  'each-entry-alone': { evidence: () => new SuspectRequests(), shares: false },
  'whole-fleet': { evidence: () => new SuspectRequests(), shares: true },
  oracle: { evidence: () => new AllKnowing(), shares: false }
} satisfies Record<string, Policy>

/** The name of a policy. */
export type SuspectPolicyName = keyof typeof policies
export const suspectPolicyNames = Object.keys(policies) as SuspectPolicyName[]

/** The prefix of the fingerprints of fatal requests. */
const FATAL = 'fa'
const MOST_ATTEMPTS = 2
/** How long a request waits before an endpoint starts it, and how long it then runs, in milliseconds. */
const WAIT = 300
const RUN_TIME = 1_200
/** The time from the start of a fatal request to the crash of its endpoint, and from the crash until the endpoint is up again, in milliseconds. */
const TIME_TO_END = 80
const DOWN_TIME = 3_000
/** The delay after which a caller retries a failed request once, in milliseconds. */
const RETURN_TIME = 100
/** The interval at which entries share reports, the one-way latency between processes, and the pause between the events of a response, in milliseconds. */
const TELL_PAUSE = 100
const WAY = 3
const EVENT_PAUSE = 75
const TOLD_AGENTS = 6
const RESTARTED_SHARE = 0.1

interface Entry {
  evidence: Evidence
  /** Incremented at each restart; attempts in flight at a restart are lost. */
  life: number
  readonly followed: readonly number[]
}

interface Endpoint {
  start: number
  upAt: number
  readonly agent: SuspectRequests
  readonly followers: number[]
  readonly running: Set<Attempt>
}

interface Request {
  readonly fingerprint: string
  readonly again: boolean
}

interface Attempt {
  readonly request: Request
  readonly entry: Entry
  readonly life: number
  readonly number: number
  begun: boolean
}

class SuspectModel {
  private readonly _time = new VirtualTime()
  private readonly _random: () => number
  private readonly _policy: Policy
  private readonly _entries: Entry[]
  private readonly _endpoints: Endpoint[]
  private _asked = 0
  private _unserved = 0
  private _heldBack = 0
  private _ended = 0
  private _lastSend = 0

  constructor (private readonly _play: SuspectPlay) {
    this._random = seededRandom(_play.seed)
    this._policy = policies[_play.policy]
    this._endpoints = Array.from({ length: _play.endpoints }, () => ({ start: 0, upAt: 0, agent: new SuspectRequests(), followers: [], running: new Set<Attempt>() }))
    this._entries = Array.from({ length: _play.entries }, (_, index) => this._newEntry(index))
  }

  play (): SuspectFigures {
    const { fatal, fatalPerSecond, perSecond, restartEvery, seconds } = this._play
    this._arrivals(perSecond, () => {
      this._asked += 1
      this._ask({ fingerprint: this._fingerprint('0', this._asked), again: false })
    })
    for (let index = 0; index < fatal; index += 1) this._arrivals(fatalPerSecond, () => this._ask({ fingerprint: this._fingerprint(FATAL, index), again: true }))
    if (restartEvery !== undefined) this._every(restartEvery * 1_000, () => this._restart())
    this._every(TELL_PAUSE, () => { for (const entry of this._entries) this._tell(entry, { losses: entry.evidence.takeConfirmed(this._time.now), answers: [] }) })
    this._time.playUntil(seconds * 1_000)
    return { endpointsEnded: this._ended, unserved: this._unserved / this._asked, heldBack: this._heldBack / this._asked, lastSend: this._lastSend / 1_000 }
  }

  private _newEntry (index: number): Entry {
    const followed = this._shuffled(this._play.endpoints).slice(0, this._play.followed)
    for (const endpoint of followed) this._endpoints[endpoint]?.followers.push(index)
    return { evidence: this._policy.evidence(), life: 0, followed }
  }

  private _fingerprint (kind: string, number: number): string { return kind + number.toString(16).padStart(16 - kind.length, '0') }

  private _arrivals (perSecond: number, arrive: () => void): void {
    this._time.after(-Math.log(1 - this._random()) / perSecond * 1_000, () => {
      arrive()
      this._arrivals(perSecond, arrive)
    })
  }

  private _every (milliseconds: number, run: () => void): void {
    this._time.after(milliseconds, () => {
      run()
      this._every(milliseconds, run)
    })
  }

  private _restart (): void {
    for (const entry of this._entries) {
      if (this._random() >= RESTARTED_SHARE) continue
      entry.life += 1
      entry.evidence = this._policy.evidence()
      if (this._policy.shares) for (const index of entry.followed) this._hear(entry, { losses: (this._endpoints[index] as Endpoint).agent.known(this._time.now), answers: [] })
    }
  }

  private _ask (request: Request): void {
    const entry = this._entries[Math.floor(this._random() * this._entries.length)] as Entry
    if (entry.evidence.standing(request.fingerprint, this._time.now) !== 'held-back') return this._send(request, entry, 1)
    if (!isFatal(request)) this._heldBack += 1
  }

  private _send (request: Request, entry: Entry, number: number): void {
    const up = entry.followed.filter(index => (this._endpoints[index] as Endpoint).upAt <= this._time.now)
    const index = up[Math.floor(this._random() * up.length)]
    if (index === undefined) return this._giveUp(request)
    if (isFatal(request)) this._lastSend = this._time.now
    const endpoint = this._endpoints[index] as Endpoint
    const attempt: Attempt = { request, entry, life: entry.life, number, begun: false }
    endpoint.running.add(attempt)
    this._time.after(WAIT, () => { if (endpoint.running.has(attempt)) this._begin(index, endpoint, attempt) })
  }

  private _begin (index: number, endpoint: Endpoint, attempt: Attempt): void {
    attempt.begun = true
    if (isFatal(attempt.request)) return this._time.after(TIME_TO_END, () => { if (endpoint.running.has(attempt)) this._end(index, endpoint) })
    this._event(index, endpoint, attempt, this._time.now + RUN_TIME)
  }

  private _event (index: number, endpoint: Endpoint, attempt: Attempt, until: number): void {
    if (!endpoint.running.has(attempt)) return
    const { entry, request } = attempt
    if (entry.life === attempt.life) entry.evidence.lived(nameOf(index, endpoint.start), this._time.now)
    if (this._time.now < until) return this._time.after(EVENT_PAUSE, () => this._event(index, endpoint, attempt, until))
    endpoint.running.delete(attempt)
    if (entry.life === attempt.life && entry.evidence.answered(request.fingerprint, this._time.now)) this._tell(entry, { losses: [], answers: [{ fingerprint: request.fingerprint, age: 0 }] })
  }

  private _end (index: number, endpoint: Endpoint): void {
    this._ended += 1
    const name = nameOf(index, endpoint.start)
    const running = [...endpoint.running]
    endpoint.running.clear()
    endpoint.start += 1
    endpoint.upAt = this._time.now + DOWN_TIME
    for (const attempt of running) this._time.after(WAY, () => this._lost(name, attempt))
  }

  private _lost (name: string, { request, entry, life, number }: Attempt): void {
    if (entry.life !== life) return this._giveUp(request)
    const { now } = this._time
    entry.evidence.lost(request.fingerprint, name, now)
    if (number < MOST_ATTEMPTS && entry.evidence.standing(request.fingerprint, now) === 'clear') this._send(request, entry, number + 1)
    else this._giveUp(request)
  }

  private _giveUp (request: Request): void {
    if (isFatal(request)) return
    if (request.again) this._unserved += 1
    else this._time.after(RETURN_TIME, () => this._ask({ ...request, again: true }))
  }

  private _tell (entry: Entry, news: SuspectNews): void {
    if (!this._policy.shares || isEmpty(news)) return
    const told = this._shuffled(entry.followed.length).slice(0, TOLD_AGENTS).map(place => this._endpoints[entry.followed[place] as number] as Endpoint)
    for (const { agent, followers } of told) this._time.after(WAY, () => this._pass(followers, agent.heard(news, this._time.now)))
  }

  private _pass (followers: readonly number[], news: SuspectNews): void {
    if (isEmpty(news)) return
    for (const index of followers) this._time.after(WAY, () => this._hear(this._entries[index] as Entry, news))
  }

  private _hear (entry: Entry, news: SuspectNews): void {
    const { losses, answers } = entry.evidence.heard(news, this._time.now)
    this._tell(entry, { losses: losses.filter(({ fingerprint }) => entry.evidence.standing(fingerprint, this._time.now) !== 'clear'), answers })
    for (const endpoint of this._endpoints) this._takeBack(endpoint, entry)
  }

  /** Removes an entry's attempts that have not started and whose request is now held back. */
  private _takeBack ({ running }: Endpoint, entry: Entry): void {
    for (const attempt of running) {
      const heldBack = attempt.entry === entry && !attempt.begun && entry.evidence.standing(attempt.request.fingerprint, this._time.now) === 'held-back'
      if (heldBack) running.delete(attempt)
    }
  }

  /** Returns the numbers from 0 to `count - 1` in random order. */
  private _shuffled (count: number): number[] {
    return Array.from({ length: count }, (_, index) => ({ index, place: this._random() })).sort((left, right) => left.place - right.place).map(({ index }) => index)
  }
}

function isFatal ({ fingerprint }: Request): boolean { return fingerprint.startsWith(FATAL) }
function nameOf (index: number, start: number): string { return `endpoint-${index}@${start}` }
function isEmpty ({ losses, answers }: SuspectNews): boolean { return losses.length + answers.length === 0 }

/**
 * Runs the simulation once.
 *
 * @example
 * const { endpointsEnded } = playSuspects({ ...suspectFleets[0], policy: 'whole-fleet', seed: 7, fatal: 1, fatalPerSecond: 10, restartEvery: undefined, seconds: 20 })
 */
export function playSuspects (play: SuspectPlay): SuspectFigures { return new SuspectModel(play).play() }
