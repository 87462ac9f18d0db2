/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Route entries that send requests directly to endpoints, with the real decisions after an attempt and the real retry allowance of
 * each entry. The oracles use only what callers receive and what arrives at endpoints.
 */
import { AttemptTracker, FleetSize, RetryAllowance, type AttemptEnd, type NextAction, type RetryPurpose, type RetryLimits, type Route, type AgentZone } from '@drumdrift/core'
import { Process, World } from './world.js'

/** The parts whose protections a variant may remove. */
export interface RoutedParts {
  readonly course: (route: RoutePolicy) => AttemptTracker
  readonly allowance: (terms: RetryLimits, entries: (now: number) => number | undefined, now: number) => Pick<RetryAllowance, 'requested' | 'trySpend'>
  readonly fleet: (zones: readonly AgentZone[]) => Pick<FleetSize, 'heard' | 'estimate'>
}

/** The product's own parts. */
export const realRoutedParts: RoutedParts = {
  course: route => new AttemptTracker(route),
  allowance: (...given) => new RetryAllowance(...given),
  fleet: zones => new FleetSize(() => zones)
}

/** The properties of a route that govern the attempts. */
export type RoutePolicy = Pick<Route, 'kind' | 'maxAttempts' | 'resumable'>

/** How an endpoint responds to a request. */
export type EndpointBehaviour = 'answer' | 'shed' | 'cut' | 'fail' | 'reject' | 'answer-plainly' | 'vanish'

interface Entry {
  process: Process
  fleet: ReturnType<RoutedParts['fleet']>
  allowance: ReturnType<RoutedParts['allowance']>
}

/** A request, with the progress of its answer at the caller. */
interface Request {
  readonly entry: Entry
  readonly process: Process
  readonly course: AttemptTracker
  readonly deadline: number
  arrivals: number
  events: number
}

const ZONES = ['koshi', 'bagmati', 'gandaki'] as const
const ENTRY_COUNT = 12
const EVENTS_PER_STREAM = 6
/** The window of the operators' bound on retries, in milliseconds. */
const RETRY_WINDOW = 10_000
const RETRY_LIMITS: RetryLimits = { ratio: 0.2, slack: 24, window: RETRY_WINDOW }
/** Interval at which agents report how many entries reach them, in milliseconds. */
const COUNT_REPORT_INTERVAL = 500
/** Deadline of a request, in milliseconds. */
const REQUEST_TIMEOUT = 6_000
/** Upper bound of the time from an action to the last request that it schedules, in milliseconds. */
const MAX_SCHEDULE_TIME = 30_000
const routes: readonly RoutePolicy[] = [
  { kind: 'streaming', maxAttempts: 2, resumable: true },
  { kind: 'streaming', maxAttempts: 3, resumable: true },
  { kind: 'streaming', maxAttempts: 2, resumable: false }
]

/** Simulation of entries, endpoints and callers. */
export class RoutedWorld {
  readonly world: World
  private readonly _entries: Entry[] = []
  private readonly _requestTimes: number[] = []
  private readonly _retryTimes: number[] = []
  /** How endpoints respond to a share of the new requests and of the resumed ones. */
  private _behaviours: Record<RetryPurpose, { behaviour: EndpointBehaviour, share: number }> = {
    begin: { behaviour: 'answer', share: 0 },
    'go-on': { behaviour: 'answer', share: 0 }
  }

  private _incarnations = 0

  constructor (seed: number, private readonly _parts: RoutedParts = realRoutedParts) {
    this.world = new World(seed)
    for (let index = 0; index < ENTRY_COUNT; index += 1) this._entries.push(this._startEntry(index))
    this._reportCounts()
  }

  /** Schedules requests over a period. */
  load (count: number, milliseconds: number): void {
    for (let index = 0; index < count; index += 1) this.world.after(this.world.uniform(0, milliseconds), undefined, () => this._startRequest())
  }

  /** Sets how endpoints respond to a share of the attempts; they answer the others in full. */
  setBehaviour (purpose: RetryPurpose, behaviour: EndpointBehaviour, share: number): void { this._behaviours[purpose] = { behaviour, share } }

  /** Kills and restarts a share of the entries. */
  restart (share: number): void {
    for (const [index, { process }] of this._entries.entries()) {
      if (this.world.random() >= share) continue
      this.world.kill(process)
      this._entries[index] = this._startEntry(index)
    }
  }

  /** Partitions a zone from all others. */
  cutZone (index: number): void {
    const zone = ZONES[index % ZONES.length] ?? ''
    for (const other of ZONES.filter(name => name !== zone)) {
      this.world.cut(zone, other)
      this.world.cut(other, zone)
    }
  }

  /** Waits for the scheduled requests, ends all disturbances and checks the retry bound. */
  settle (): void {
    this.world.advance(MAX_SCHEDULE_TIME)
    this.world.heal()
    this.setBehaviour('begin', 'answer', 0)
    this.setBehaviour('go-on', 'answer', 0)
    this.world.advance(REQUEST_TIMEOUT)
    this._checkRetries()
  }

  private _startEntry (index: number): Entry {
    const process = new Process(`entry-${index}`, ZONES[index % ZONES.length] ?? '', `entry-${index}.${this._incarnations++}`, 0)
    const fleet = this._parts.fleet(ZONES.map(availabilityZone => ({ availabilityZone, listed: 1, followed: 1 })))
    return { process, fleet, allowance: this._parts.allowance(RETRY_LIMITS, now => fleet.estimate(now), this.world.now) }
  }

  /** The agent of each zone counts the entries that reach it and reports the count to them. */
  private _reportCounts (): void {
    for (const zone of ZONES) {
      const agent = new Process(`agent-${zone}`, zone, `agent-${zone}`, 0)
      const reachable = this._entries.filter(({ process }) => this.world.connected(process, agent))
      for (const { fleet } of reachable) fleet.heard(zone, agent.name, reachable.length / ZONES.length, this.world.now)
    }
    this.world.after(COUNT_REPORT_INTERVAL, undefined, () => this._reportCounts())
  }

  private _startRequest (): void {
    const { world } = this
    const entry = world.pick(this._entries) as Entry
    this._requestTimes.push(world.now)
    entry.allowance.requested(world.now)
    const route = world.pick(routes) as RoutePolicy
    this._send({ entry, process: entry.process, course: this._parts.course(route), deadline: world.now + REQUEST_TIMEOUT, arrivals: 0, events: 0 })
  }

  private _send (request: Request): void {
    const { world } = this
    const { behaviour, share } = this._behaviours[request.events > 0 ? 'go-on' : 'begin']
    const applied: EndpointBehaviour = world.random() < share ? behaviour : 'answer'
    world.after(world.uniform(1, 5), request.process, () => {
      if (request.arrivals > 0) this._retryTimes.push(world.now)
      request.arrivals += 1
      this._respond[applied](request)
    })
  }

  private readonly _respond: Record<EndpointBehaviour, (request: Request) => void> = {
    answer: request => this._writeEvents(request, EVENTS_PER_STREAM, { type: 'answered', status: 200, stream: true }),
    cut: request => this._writeEvents(request, Math.min(EVENTS_PER_STREAM - 1, request.events + 1 + Math.floor(this.world.random() * 3)), { type: 'broken', connection: 'lost', detail: 'reset' }),
    shed: request => this._end(request, { type: 'not-run', reason: 'full' }),
    fail: request => this._end(request, { type: 'answered', status: 500, stream: false }),
    reject: request => this._end(request, { type: 'answered', status: 404, stream: false }),
    'answer-plainly': request => this._end(request, { type: 'answered', status: 200, stream: false }),
    vanish: request => this._end(request, { type: 'broken', connection: 'lost', detail: 'reset' })
  }

  private _writeEvents (request: Request, upTo: number, end: AttemptEnd): void {
    if (request.events >= upTo) return this._end(request, end)
    this.world.after(this.world.uniform(1, 30), request.process, () => {
      request.events += 1
      request.course.begun()
      this._writeEvents(request, upTo, end)
    })
  }

  private _end (request: Request, end: AttemptEnd): void {
    const { world } = this
    world.after(world.uniform(1, 5), request.process, () => {
      const step = request.course.ended(end, {
        timeLeft: world.now < request.deadline, suspect: false, elsewhere: () => true, spendRetry: purpose => request.entry.allowance.trySpend(purpose, world.now)
      })
      this._applyStep(request, end, step)
    })
  }

  private _applyStep (request: Request, end: AttemptEnd, step: NextAction): void {
    if (step.type === 'try-next' || step.type === 'resume') return this._send(request)
    if (step.type !== 'pass-on') return
    // Once events are sent, the caller has a success status and can see only whether the end of the stream arrived.
    const success = request.events > 0 || (end.type === 'answered' && end.status < 300 && end.stream)
    if (success && request.events < EVENTS_PER_STREAM) this.world.recordViolation(`whole-stream: a caller received ${request.events} of ${EVENTS_PER_STREAM} events as a complete stream`)
  }

  /** Checks the retry bound in every window that ends with a retry. */
  private _checkRetries (): void {
    const within = (times: readonly number[], from: number, to: number): number => times.filter(time => time > from && time <= to).length
    for (const to of this._retryTimes) {
      const requests = Math.max(...[0, RETRY_WINDOW / 2, RETRY_WINDOW].map(earlier => within(this._requestTimes, to - earlier - RETRY_WINDOW, to - earlier)))
      const retries = within(this._retryTimes, to - RETRY_WINDOW, to)
      const bound = RETRY_LIMITS.ratio * requests + RETRY_LIMITS.slack
      if (retries <= bound) continue
      this.world.recordViolation(`retry-bound: ${retries} retries for ${requests} requests, ${Math.floor(bound)} allowed`)
      return
    }
  }
}
