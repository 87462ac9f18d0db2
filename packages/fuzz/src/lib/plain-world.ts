/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Entries before a plain service of few endpoints, with the real choice of endpoints and the real decisions after an attempt. Connections
 * get lost, links are slow, and endpoints fail in several ways. The oracle compares each class of requests with what could be served.
 */
import {
  AttemptTracker, avoidanceOf, comparedObjective, ConnectionAttempts, ConnectionRace, EndpointChooser, EvidencePool, healthOf, healthOfStopped, isConnectionFailure, startKeyOf, UsualObjective, type AttemptEnd, type ChosenEndpoint, type EndpointRecord, type EndpointRequirements, type EntryLocation, type RacingConnection, type Route, type ServiceDescription
} from '@drumdrift/core'
import { World } from './world.js'

/** The parts whose protections a variant may remove. */
export interface PlainParts {
  readonly chooser: (place: EntryLocation, random: () => number) => EndpointChooser
  readonly connections: (receivedAt: number, deadline: number) => Pick<ConnectionAttempts, 'timeout' | 'unanswered' | 'endsAt'>
  readonly evidence: () => Pick<EvidencePool, 'add' | 'take'>
}

/** The product's own parts. */
export const realPlainParts: PlainParts = {
  chooser: (...given) => new EndpointChooser(...given),
  connections: (...given) => new ConnectionAttempts(...given),
  evidence: () => new EvidencePool()
}

/** The size of a simulated deployment. */
export interface PlainSize {
  readonly endpoints: number
  readonly entries: number
}

/**
 * How an endpoint treats requests: as it should; it answers no connection; it refuses them; it goes down and up by turns; it resets
 * every connection after the request; it answers about half of the requests with a failure; it accepts requests and never answers; it works
 * much longer; it rejects every request as not run; it rejects about half of them.
 */
export type EndpointCondition = 'healthy' | 'silent' | 'refusing' | 'flapping' | 'resetting' | 'failing' | 'hanging' | 'slow' | 'rejecting' | 'shedding'

/** A class of requests; `patient` ones have a long objective. */
export type PlainClass = 'unsafe' | 'safe' | 'patient'

/** How the requests of a class ended; requests that no endpoint could serve do not count. */
export interface PlainFigures {
  counted: number
  inTime: number
  late: number
  refused: number
  failed: number
}

interface Endpoint {
  readonly record: EndpointRecord
  condition: EndpointCondition
  /** When its condition changed last. */
  changedAt: number
}

interface Path {
  /** The share of packets that get lost. */
  loss: number
  /** The delay of a full link in one direction, in milliseconds. */
  delay: number
  changedAt: number
}

interface Entry {
  readonly id: string
  readonly availabilityZone: string
  readonly chooser: EndpointChooser
  readonly usualObjective: UsualObjective
}

interface Request {
  readonly id: string
  readonly requestClass: PlainClass
  readonly entry: Entry
  readonly course: AttemptTracker
  readonly connections: ReturnType<PlainParts['connections']>
  readonly receivedAt: number
  readonly deadline: number
  /** See `comparedObjective`. */
  readonly objective: number
  readonly tried: Set<string>
  /** Endpoints that could serve it when it arrived. */
  readonly able: readonly Endpoint[]
}

const ZONES = ['koshi', 'bagmati', 'gandaki'] as const
/** Times are in milliseconds. */
const CONNECT_TIMEOUT = 45
const FLAP_PERIOD = 1_400
const RETRANSMISSION_DELAY = 200
/** How often entries tell what they have seen, and how long it takes to reach the others of their zone. */
const EVIDENCE_INTERVAL = 100
const EVIDENCE_DELAY = 50
/** The share of unsafe requests among those of no given class. */
const UNSAFE_SHARE = 0.8
const MIN_WORK = 10
const MAX_WORK = 30
const FAILING_SHARE = 0.45
const workFactors: Record<EndpointCondition, number> = { healthy: 1, silent: 1, refusing: 1, flapping: 1, resetting: 0, failing: 1, hanging: 1, slow: 8, rejecting: 0, shedding: 1 }
/** The shares of requests that are rejected as not run. */
const rejectedShares: Partial<Record<EndpointCondition, number>> = { rejecting: 1, shedding: 0.45 }
/** A path with more loss or delay than this is not counted as one that can serve. */
const MAX_LOSS = 0.2
const MAX_DELAY = 20
/**
 * The least share of the counted requests of each class that must be answered, above the half of its worth that operators ask of every
 * class on a day with faults; and the number of requests from which on it is judged.
 */
const LEAST_SERVED_SHARE = 0.6
const LEAST_COUNT = 150
const SETTLE_TIME = 30_000

const service: ServiceDescription = { name: 'desk', maxConnections: 100 }

interface ClassDescription {
  readonly route: Pick<Route, 'kind' | 'maxAttempts' | 'resumable'>
  readonly timeout: number
  readonly objective: number
  /** The share of requests that the application answers with a failure. */
  readonly errorShare: number
}

const classes: Record<PlainClass, ClassDescription> = {
  unsafe: { route: { kind: 'unsafe', maxAttempts: 1, resumable: false }, timeout: 800, objective: 120, errorShare: 0.004 },
  safe: { route: { kind: 'safe', maxAttempts: 2, resumable: false }, timeout: 600, objective: 120, errorShare: 0.14 },
  patient: { route: { kind: 'safe', maxAttempts: 2, resumable: false }, timeout: 2_000, objective: 1_000, errorShare: 0 }
}

/** The names of all classes. */
export const plainClasses = Object.keys(classes) as readonly PlainClass[]

function emptyFigures (): PlainFigures { return { counted: 0, inTime: 0, late: 0, refused: 0, failed: 0 } }

/** Simulation of entries, endpoints and the paths between their zones. */
export class PlainWorld {
  readonly world: World
  readonly figures: Record<PlainClass, PlainFigures> = { unsafe: emptyFigures(), safe: emptyFigures(), patient: emptyFigures() }
  private readonly _entries: Entry[]
  private readonly _endpoints: Endpoint[]
  private readonly _paths = new Map<string, Path>()
  private readonly _evidence: ReturnType<PlainParts['evidence']>
  private _count = 0
  private _openingTime = 0

  constructor (seed: number, private readonly _parts: PlainParts = realPlainParts, size: PlainSize = { endpoints: 3, entries: 9 }) {
    this.world = new World(seed)
    this._endpoints = Array.from({ length: size.endpoints }, (_, index) => ({
      record: { id: `desk-${index}`, born: 0, writings: 1, service: service.name, address: `10.0.0.${index}:80`, availabilityZone: zoneOf(index), slots: 6, draining: false, models: [], coldRemaining: 0 }, condition: 'healthy', changedAt: 0
    }))
    this._entries = Array.from({ length: size.entries }, (_, index) => {
      const zone = zoneOf(index)
      return { id: `entry-${index}`, availabilityZone: zone, chooser: this._parts.chooser({ availabilityZone: zone, regionOf: name => name }, () => this.world.random()), usualObjective: new UsualObjective() }
    })
    for (const from of ZONES) for (const to of ZONES) this._paths.set(`${from}>${to}`, { loss: 0, delay: 0, changedAt: 0 })
    this._list(this._endpoints)
    this._evidence = _parts.evidence()
    this._tellEvidence()
  }

  /** Schedules requests over a period, of one class or else of unsafe and safe ones. */
  load (count: number, milliseconds: number, requestClass?: PlainClass): void {
    for (let index = 0; index < count; index += 1) this.world.after(this.world.uniform(0, milliseconds), undefined, () => this._begin(requestClass))
  }

  setCondition (index: number, condition: EndpointCondition): void {
    const endpoint = this._endpoints[index % this._endpoints.length]
    if (endpoint === undefined) return
    endpoint.condition = condition
    endpoint.changedAt = this.world.now
  }

  /** Takes an endpoint off the list, unless it is the last one. */
  remove (index: number): void {
    if (this._endpoints.length === 1) return
    this._endpoints.splice(index % this._endpoints.length, 1)
    this._list(this._endpoints)
  }

  /** Sets the loss and the delay of the paths between a zone and the others. */
  disturbPaths (index: number, loss: number, delay: number): void {
    const zone = zoneOf(index)
    for (const other of ZONES.filter(name => name !== zone)) {
      this._paths.set(`${zone}>${other}`, { loss, delay, changedAt: this.world.now })
      this._paths.set(`${other}>${zone}`, { loss, delay, changedAt: this.world.now })
    }
  }

  /** Sets how long every connection takes to open, besides the delay of its path, in milliseconds: endpoints accept them late. */
  setOpeningTime (milliseconds: number): void { this._openingTime = milliseconds }

  heal (): void {
    for (let index = 0; index < this._endpoints.length; index += 1) this.setCondition(index, 'healthy')
    for (let index = 0; index < ZONES.length; index += 1) this.disturbPaths(index, 0, 0)
  }

  /** Waits for the scheduled requests and judges each class. */
  settle (): void {
    this.world.advance(SETTLE_TIME)
    for (const requestClass of plainClasses) {
      const { counted, inTime, late } = this.figures[requestClass]
      const served = inTime + late
      if (counted >= LEAST_COUNT && served < LEAST_SERVED_SHARE * counted) this.world.recordViolation(`each-class-served: ${served} of ${counted} requests of the class ${requestClass} were answered, which an endpoint could serve`)
    }
  }

  /** Lets entries tell each other what they have seen, again and again. */
  private _tellEvidence (): void {
    const { world } = this
    for (const entry of this._entries) this._evidence.add(entry, entry.chooser.takeEvidence(world.now), world.now)
    world.after(EVIDENCE_DELAY, undefined, () => {
      for (const [{ chooser }, reports] of this._evidence.take(this._entries, world.now)) for (const report of reports) chooser.hear(report, world.now)
    })
    world.after(EVIDENCE_INTERVAL, undefined, () => this._tellEvidence())
  }

  private _list (endpoints: readonly Endpoint[]): void {
    for (const { chooser } of this._entries) chooser.setRecords(endpoints.map(({ record }) => record))
  }

  private _pathBetween (from: string, to: string): Path { return this._paths.get(`${from}>${to}`) as Path }

  private _begin (given?: PlainClass): void {
    const { world } = this
    const entry = world.pick(this._entries) as Entry
    const requestClass = given ?? (world.random() < UNSAFE_SHARE ? 'unsafe' : 'safe')
    const { route, timeout, objective } = classes[requestClass]
    const receivedAt = world.now
    const deadline = receivedAt + timeout
    this._count += 1
    const able = this._endpoints.filter(endpoint => this._isAble(entry, endpoint))
    this._send({ id: `r${this._count}`, requestClass, entry, course: new AttemptTracker(route), connections: this._parts.connections(receivedAt, deadline), receivedAt, deadline, objective: comparedObjective(service, entry.usualObjective, objective), tried: new Set(), able })
  }

  private _isAble ({ availabilityZone }: Entry, { condition, record }: Endpoint): boolean {
    const { loss, delay } = this._pathBetween(availabilityZone, record.availabilityZone)
    return condition === 'healthy' && loss <= MAX_LOSS && delay <= MAX_DELAY
  }

  private _send (request: Request): void {
    const { world } = this
    const choice = this._choose(request)
    if (choice === undefined) return this._end(request, 'refused')
    const race = this._raceOf(request)
    race.begin(choice, world.now)
    this._scheduleCheck(race)
  }

  private _raceOf (request: Request): ConnectionRace {
    const { id, entry: { chooser }, tried } = request
    const closed = new Set<RacingConnection>()
    const race = new ConnectionRace(request.connections, {
      choose: () => this._choose(request),
      timeout: ({ record }) => request.connections.timeout(startKeyOf(record), CONNECT_TIMEOUT),
      connect: connection => {
        tried.add(startKeyOf(connection.choice.record))
        this._connect(request, race, connection, () => closed.has(connection))
      },
      close: connection => closed.add(connection),
      occupied: (occupied, now) => chooser.sent(occupied, id, 0, now),
      released: ({ record }, now) => chooser.ended(startKeyOf(record), id, 'unclear', now),
      faulty: ({ choice: { record }, begunAt }, reason, mayRepeat, now) => {
        chooser.connectionFailed(startKeyOf(record), reason, begunAt, now)
        if (mayRepeat) tried.delete(startKeyOf(record))
        else tried.add(startKeyOf(record))
      },
      lost: (last, reason) => this._onEnd(request, last.choice, last.begunAt, { type: 'not-run', reason })
    })
    return race
  }

  private _scheduleCheck (race: ConnectionRace): void {
    const at = race.nextCheckAt
    if (at === undefined) return
    this.world.after(at - this.world.now, undefined, () => {
      race.check(this.world.now)
      this._scheduleCheck(race)
    })
  }

  private _connect (request: Request, race: ConnectionRace, connection: RacingConnection, isClosed: () => boolean): void {
    const { world } = this
    const { choice, begunAt } = connection
    const endpoint = this._endpoints.find(({ record }) => record === choice.record)
    const path = this._pathBetween(request.entry.availabilityZone, choice.record.availabilityZone)
    const roundTrip = 2 * (path.delay + world.uniform(0.5, 1.5))
    const isLost = endpoint === undefined || endpoint.condition === 'silent' || world.random() < 1 - (1 - path.loss) ** 2
    if (isLost) return
    const isRefused = this._isDown(endpoint)
    const answerDelay = roundTrip + (!isRefused && world.random() < path.loss ? RETRANSMISSION_DELAY : 0)
    world.after(roundTrip + this._openingTime, undefined, () => {
      if (isClosed()) return
      if (isRefused) {
        race.failed(connection, 'connection-refused', world.now)
        return this._scheduleCheck(race)
      }
      race.opened(connection, world.now)
      this._run(request, choice, begunAt, endpoint, answerDelay)
    })
  }

  private _choose ({ entry, objective, tried }: Request): ChosenEndpoint | undefined {
    const need: EndpointRequirements = { promptTokens: 0, answerTokens: 0, model: '', leastVersion: 0, mustBeginBy: () => undefined, usualObjective: objective, tried }
    return entry.chooser.choose(service, need, this.world.now)
  }

  private _isDown ({ condition, changedAt }: Endpoint): boolean {
    if (condition === 'flapping') return (this.world.now - changedAt) % FLAP_PERIOD < FLAP_PERIOD / 2
    return condition === 'refusing'
  }

  private _run (request: Request, choice: ChosenEndpoint, begunAt: number, endpoint: Endpoint, answerDelay: number): void {
    const { world } = this
    request.entry.chooser.connected(startKeyOf(choice.record))
    if (endpoint.condition === 'hanging') return world.after(request.deadline - world.now, undefined, () => this._onDeadline(request, choice, begunAt))
    if (world.random() < (rejectedShares[endpoint.condition] ?? 0)) return world.after(answerDelay, undefined, () => this._onEnd(request, choice, begunAt, { type: 'not-run', reason: 'full' }))
    const work = workFactors[endpoint.condition] * world.uniform(MIN_WORK, MAX_WORK)
    world.after(work + answerDelay, undefined, () => this._onEnd(request, choice, begunAt, this._answerOf(request, endpoint)))
  }

  private _onDeadline (request: Request, { record, expected }: ChosenEndpoint, begunAt: number): void {
    const { now } = this.world
    request.entry.chooser.ended(startKeyOf(record), request.id, healthOfStopped(now - begunAt, { expected, objective: classes[request.requestClass].objective }), now)
    this._end(request, 'failed')
  }

  private _answerOf ({ requestClass }: Request, endpoint: Endpoint): AttemptEnd {
    if (endpoint.condition === 'resetting' || this._isDown(endpoint)) return { type: 'broken', connection: 'lost', detail: 'reset' }
    const errorShare = endpoint.condition === 'failing' ? FAILING_SHARE : classes[requestClass].errorShare
    return { type: 'answered', status: this.world.random() < errorShare ? 500 : 200, stream: false }
  }

  private _onEnd (request: Request, { record }: ChosenEndpoint, begunAt: number, end: AttemptEnd): void {
    const { entry: { chooser }, course, deadline } = request
    const { now } = this.world
    const start = startKeyOf(record)
    if (end.type === 'answered' && end.status < 500) chooser.recordPlainAnswer(start, now - begunAt, now)
    const connected = !(end.type === 'not-run' && isConnectionFailure(end.reason))
    if (end.type === 'not-run' && end.reason !== 'unsendable' && !isConnectionFailure(end.reason)) chooser.skip(start, avoidanceOf(end.reason), now)
    if (connected) chooser.ended(start, request.id, healthOf(end), now)
    const step = course.ended(end, { timeLeft: now < deadline, suspect: false, elsewhere: () => connected && this._choose(request) !== undefined, spendRetry: () => true })
    if (step.type === 'try-next') return this._send(request)
    if (step.type === 'pass-on') return this._end(request, end.type === 'answered' && end.status < 500 ? 'answered' : 'failed')
    this._end(request, step.type === 'give-up' && step.outcome === 'not-run' ? 'refused' : 'failed')
  }

  /** Counts a request if an endpoint could have served it all the time. */
  private _end (request: Request, result: 'answered' | 'refused' | 'failed'): void {
    const { entry, receivedAt, requestClass, deadline } = request
    const { now } = this.world
    const couldServe = request.able.some(endpoint => this._endpoints.includes(endpoint) && endpoint.changedAt <= receivedAt && this._pathBetween(entry.availabilityZone, endpoint.record.availabilityZone).changedAt <= receivedAt)
    if (!couldServe) return
    const figures = this.figures[requestClass]
    figures.counted += 1
    if (result !== 'answered') figures[result] += 1
    else if (now - receivedAt <= classes[requestClass].objective) figures.inTime += 1
    else if (now <= deadline) figures.late += 1
    else figures.failed += 1
  }
}

function zoneOf (index: number): string { return ZONES[index % ZONES.length] ?? ZONES[0] }
