/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Simulates a pool that is offered more than it can serve: three urgencies, traffic that swings by a fifth, and an organisation that sends
 * half. Compares the order of admission with the rule before it and with first come, first served.
 */
import { prefillRate, retryAfter, UnreadTokenEstimator, type PoolDescription } from '@drumdrift/core'
import { seededRandom } from '@drumdrift/stand-ins'
import { overloadPolicies, type OverloadEntry, type OverloadPolicyName, type OverloadRequest } from './overload-policies.js'
import { VirtualEngine } from './virtual-engine.js'
import { VirtualTime } from './virtual-time.js'

/** The numbers of entries, and the engines of each deployment. */
export const overloadSites = { 6: 6, 40: 28, 100: 70 } as const
/** A number of entries of a simulated deployment. */
export type OverloadSite = keyof typeof overloadSites

/** The engines of the first deployment with hard load. */
const pool: PoolDescription = {
  slots: 12, stride: 5, stepTime: 7.4, stepTimePerRequest: 0.03, stepTimePerThousandTokens: 0.02, promptTokensPerMillisecond: 31.9, promptTokensPerStep: 2_048, usualPromptTokens: 909, usualAnswerTokens: 100, models: [], layers: 16, chunks: 48, chunkBytes: 49_152
}
const MAX_WAITING = 24
const FOLLOWED = 20
const LATENCY_MILLISECONDS = 2
const READING_INTERVAL_MILLISECONDS = 50
const PATIENCE_MILLISECONDS = 6_000
/** How often a caller that is refused returns, and the attempts of one request at engines that reject it. */
const RETURNS = 1
const MAX_ATTEMPTS = 3
const SWING = 0.2
const SWING_PERIOD_MILLISECONDS = 8_000
const COUNTING_START_MILLISECONDS = 4_000
const ARRIVALS_END_MILLISECONDS = 28_000
const ORGANISATIONS = 24
const LARGE_SHARE = 0.5
/** The standard deviations of the logarithms of sizes, and of the caller's hint around the answer's length. */
const PROMPT_SPREAD = 0.8
const ANSWER_SPREAD = 0.7
const HINT_SPREAD = 0.5

interface RequestKind {
  readonly urgency: number
  readonly share: number
  readonly objective: number
  readonly prompt: number
}

/** The kinds of requests: shares, objectives and mean prompts. */
const kindsOf: Record<OverloadRun['urgencies'], readonly RequestKind[]> = {
  three: [
    { urgency: 0, share: 121 / 360, objective: 402, prompt: 1_290 },
    { urgency: 1, share: 145 / 360, objective: 402, prompt: 787 },
    { urgency: 2, share: 94 / 360, objective: 802, prompt: 607 }
  ],
  one: [{ urgency: 1, share: 1, objective: 402, prompt: 909 }]
}

/** Parameters of one run. */
export interface OverloadRun {
  readonly entries: OverloadSite
  readonly policy: OverloadPolicyName
  /** The offered requests as a multiple of what saturated engines complete. */
  readonly load: number
  /** Whether the requests differ in urgency, as in the first deployment with hard load, or not, as in the second. */
  readonly urgencies: 'three' | 'one'
  readonly seed: number
}

/** Numbers of requests of one group, by result. */
export interface OverloadCounts {
  all: number
  inTime: number
  late: number
  unserved: number
  /** Those of the unserved that were refused; the others timed out. */
  refused: number
}

/** The results of one run by group: `all`, `urgency-0` to `urgency-2`, `large`, `others`, `long` (the longest tenth of prompts). */
export type OverloadFigures = Record<string, OverloadCounts>

const LONG_PROMPT = 1_900

/** Requests per second that a saturated engine completes, measured once for each mix with a full queue. */
const capacities = new Map<OverloadRun['urgencies'], number>()

function engineCapacity (urgencies: OverloadRun['urgencies']): number {
  const known = capacities.get(urgencies)
  if (known !== undefined) return known
  const time = new VirtualTime()
  const random = seededRandom(1)
  const engine = new VirtualEngine(pool, time)
  let ended = 0
  const send = (): void => { engine.send({ ...drawSizes(random, kindsOf[urgencies]), onFirstToken: () => {}, onEnd: () => { ended += 1; send() } }) }
  for (let index = 0; index < pool.slots + MAX_WAITING; index += 1) send()
  time.runUntil(120_000)
  const capacity = ended / 120
  capacities.set(urgencies, capacity)
  return capacity
}

function logNormal (random: () => number, mean: number, spread: number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
  return mean * Math.exp(spread * normal - spread ** 2 / 2)
}

function drawSizes (random: () => number, kinds: readonly RequestKind[]): Pick<OverloadRequest, 'promptTokens' | 'answerTokens' | 'hint' | 'urgency' | 'objective'> {
  let draw = random()
  const kind = kinds.find(({ share }) => (draw -= share) < 0) ?? kinds.at(-1)
  if (kind === undefined) throw new Error('a mix has no kinds')
  const answerTokens = Math.max(1, Math.round(Math.min(270, logNormal(random, 100, ANSWER_SPREAD))))
  return {
    promptTokens: Math.max(1, Math.round(Math.min(3_900, logNormal(random, kind.prompt, PROMPT_SPREAD)))), answerTokens, hint: Math.round(logNormal(random, answerTokens, HINT_SPREAD)), urgency: kind.urgency, objective: kind.objective
  }
}

class OverloadModel {
  private readonly _time = new VirtualTime()
  private readonly _random: () => number
  private readonly _engines: VirtualEngine[]
  private readonly _entries: OverloadEntry[]
  private readonly _followed: ReadonlySet<number>[]
  private readonly _perMillisecond: number
  private readonly _figures: OverloadFigures = {}
  private _requests = 0

  constructor (private readonly _run: OverloadRun) {
    const random = seededRandom(_run.seed)
    this._random = random
    const engines = overloadSites[_run.entries]
    this._engines = Array.from({ length: engines }, () => new VirtualEngine(pool, this._time, MAX_WAITING))
    this._followed = Array.from({ length: _run.entries }, () => drawFollowed(engines, random))
    this._entries = this._followed.map(followed => overloadPolicies[_run.policy]({ pool, engines: [...followed], random, urgencies: kindsOf[_run.urgencies].map(({ urgency }) => urgency) }))
    this._perMillisecond = _run.load * engineCapacity(_run.urgencies) * engines / 1_000
  }

  run (): OverloadFigures {
    this._engines.forEach((engine, index) => this._startReporting(engine, index))
    for (const entry of this._entries) this._scheduleArrival(entry)
    this._time.runUntil(ARRIVALS_END_MILLISECONDS + PATIENCE_MILLISECONDS + 1_000)
    return this._figures
  }

  private _startReporting (engine: VirtualEngine, index: number): void {
    const estimator = new UnreadTokenEstimator()
    const followers = this._entries.map((entry, place) => ({ entry, followed: this._followed[place] ?? new Set<number>() })).filter(({ followed }) => followed.has(index))
    const readAndReport = (): void => {
      const { running, waiting, contextTokens } = engine.reportedLoad()
      const unreadTokens = estimator.observe({ running, contextTokens }, prefillRate(pool), this._time.now)
      const sentRate = followers.reduce((sum, { entry, followed }) => sum + entry.sentRate(this._time.now) / followed.size, 0)
      const report = { running, waiting, unreadTokens, version: 1, accepting: true, pace: 1, sentRate }
      this._time.after(LATENCY_MILLISECONDS, () => { for (const { entry } of followers) entry.reportReceived(index, report, this._time.now) })
      if (this._time.now < ARRIVALS_END_MILLISECONDS + PATIENCE_MILLISECONDS) this._time.after(READING_INTERVAL_MILLISECONDS, readAndReport)
    }
    this._time.after(this._random() * READING_INTERVAL_MILLISECONDS, readAndReport)
  }

  /** Schedules the next arrival at an entry; the highest rate is thinned to the present one. */
  private _scheduleArrival (entry: OverloadEntry): void {
    const highest = this._perMillisecond / this._run.entries * (1 + SWING)
    this._time.after(-Math.log(1 - this._random()) / highest, () => {
      if (this._time.now > ARRIVALS_END_MILLISECONDS) return
      const present = (1 + SWING * Math.sin(2 * Math.PI * this._time.now / SWING_PERIOD_MILLISECONDS)) / (1 + SWING)
      if (this._random() < present) this._arrive(entry)
      this._scheduleArrival(entry)
    })
  }

  private _arrive (entry: OverloadEntry): void {
    const large = this._random() < LARGE_SHARE
    const organisation = large ? 'large' : `small-${Math.floor(this._random() * (ORGANISATIONS - 1))}`
    const request = { id: String(this._requests++), ...drawSizes(this._random, kindsOf[this._run.urgencies]), organisation, firstTryAt: this._time.now, deadline: this._time.now + PATIENCE_MILLISECONDS }
    this._try(entry, request, 0)
  }

  private _try (entry: OverloadEntry, request: OverloadRequest, returns: number): void {
    const refuse = (): void => {
      const now = this._time.now
      if (returns >= RETURNS) return this._count(request, 'refused')
      const patience = request.deadline - now
      const wait = entry.retryDelay?.(request, now) ?? retryAfter({ patience, objective: request.firstTryAt + request.objective - now }, this._random(), { type: 'open' })
      if (wait > patience / 3 + 1) return this._count(request, 'refused')
      this._time.after(wait, () => this._try(entry, request, returns + 1))
    }
    this._send(entry, request, new Set(), refuse)
  }

  private _send (entry: OverloadEntry, request: OverloadRequest, tried: Set<number>, refuse: () => void): void {
    const placed = tried.size >= MAX_ATTEMPTS ? undefined : entry.place(request, tried, this._time.now)
    const engine = placed === undefined ? undefined : this._engines[placed.engine]
    if (placed === undefined || engine === undefined) return refuse()
    tried.add(placed.engine)
    const attempt = `${request.id}`
    let [first, ended] = [0, false]
    const end = (outcome: 'served' | 'refused'): void => {
      if (ended) return
      ended = true
      entry.ended(placed.engine, attempt, outcome, this._time.now)
    }
    const job = {
      ...request,
      urgency: placed.urgency,
      onFirstToken: () => this._time.after(LATENCY_MILLISECONDS, () => {
        first = this._time.now
        if (!ended) entry.begun(placed.engine, attempt, this._time.now)
      }),
      onEnd: () => this._time.after(LATENCY_MILLISECONDS, () => {
        if (ended) return
        end('served')
        this._count(request, first - request.firstTryAt <= request.objective ? 'inTime' : 'late')
      })
    }
    this._time.after(LATENCY_MILLISECONDS, () => {
      if (engine.send(job)) return
      this._time.after(LATENCY_MILLISECONDS, () => {
        end('refused')
        this._send(entry, request, tried, refuse)
      })
    })
    this._time.after(request.deadline - this._time.now, () => {
      if (ended) return
      // A rejected attempt has ended by now, so this one is still at its engine.
      end('served')
      this._count(request, 'unserved')
    })
  }

  private _count (request: OverloadRequest, result: 'inTime' | 'late' | 'unserved' | 'refused'): void {
    if (request.firstTryAt < COUNTING_START_MILLISECONDS) return
    const groups = ['all', `urgency-${request.urgency}`, request.organisation === 'large' ? 'large' : 'others', ...request.promptTokens >= LONG_PROMPT ? ['long'] : []]
    for (const group of groups) {
      const counts = this._figures[group] ??= { all: 0, inTime: 0, late: 0, unserved: 0, refused: 0 }
      counts.all += 1
      counts[result] += 1
      if (result === 'refused') counts.unserved += 1
    }
  }
}

function drawFollowed (engines: number, random: () => number): ReadonlySet<number> {
  const order = Array.from({ length: engines }, (_, index) => ({ index, weight: FOLLOWED < engines ? random() : index }))
  return new Set(order.sort((left, right) => left.weight - right.weight).slice(0, FOLLOWED).map(({ index }) => index))
}

/**
 * Runs the simulation once.
 *
 * @example
 * simulateOverload({ entries: 40, policy: 'ordered', load: 1.3, urgencies: 'three', seed: 7 }).all
 */
export function simulateOverload (run: OverloadRun): OverloadFigures { return new OverloadModel(run).run() }
