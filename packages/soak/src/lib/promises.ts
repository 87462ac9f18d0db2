/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** The promises that a soak judges, each by what callers, endpoints and the store saw. */
import { EVENTS_PER_STREAM, signerOf } from '@drumdrift/stand-ins'
import { SETTLE_TIME, isDisturbed, isSettled, type CallRecord, type ConfigurationWrite, type EndpointArrival, type Journal } from './journal.js'

/** A broken promise. */
export interface Violation {
  readonly promise: PromiseName
  readonly at: number
  readonly detail: string
}

/** What is promised. */
export type PromiseName =
  /** A refusal that says that the request has not run, and never will, is true. */
  | 'not-run'
  /** What may not be repeated runs once at most. */
  | 'once'
  /** A success is the whole answer of an endpoint to this request, and what is not whole does not look so. */
  | 'own-answer'
  /** No request reaches an endpoint long after the store acknowledged that it drains or has gone. */
  | 'drain'
  /** A configuration is in force in time. */
  | 'in-force'
  /** A process that has handled a request by a configuration handles none by an older one afterwards. */
  | 'never-back'
  /** No request begins on a version long after a newer one was named. */
  | 'version'
  /** An engine takes over whole versions only. */
  | 'whole-version'
  /** An entry that is told to stop finishes what it has passed on. */
  | 'finished'
  /** A call is answered by the time-out of its route. */
  | 'answered'
  /** A process ends only when it is told to, and in time. */
  | 'process'
  /** Once the faults are over, callers are served. */
  | 'served'
  /** Once the faults are over, every entry takes new callers. */
  | 'ready'

/** Bounds of the users' platform, in milliseconds. */
export const DRAIN_BOUND = 2_000
export const IN_FORCE_BOUND = 2_000
export const VERSION_BOUND = 8_000
export const GRACE = 8_000
/** The time-out of all routes, and how much later an answer may end. */
export const ROUTE_TIMEOUT = 2_000
const ANSWER_SLACK = 500
/** A request that was sent so long after another was handled is handled by no older configuration. */
const ORDER_SLACK = 100
/** Callers have to be served again so long after the last fault, in milliseconds, and what share of them. */
const RECOVERY = 3_000
const LEAST_SERVED = 0.95

const statusesOfNotRun: ReadonlySet<number> = new Set([408, 421, 429, 503])

type Check = (journal: Journal) => Omit<Violation, 'promise'>[]

const checks: Record<PromiseName, Check> = {
  'not-run': ({ calls, arrivals }) => {
    const ran = new Set(arrivals.filter(arrival => arrival.ran).map(({ id }) => id))
    return calls.filter(({ id, kind, answer }) => !mayRepeat(kind) && statusesOfNotRun.has(answer.status) && ran.has(id)).map(call => found(call, `answered ${call.answer.status}, and it ran`))
  },
  once: ({ calls, arrivals }) => {
    const runs = groupBy(arrivals.filter(({ ran }) => ran), ({ id }) => id)
    return calls.filter(({ id, kind }) => !mayRepeat(kind) && (runs.get(id)?.length ?? 0) > 1).map(call => found(call, `ran ${runs.get(call.id)?.length} times`))
  },
  'own-answer': ({ calls, arrivals }) => {
    const reached = groupBy(arrivals, ({ id }) => id)
    return calls.filter(({ answer }) => answer.status === 200 && answer.whole).flatMap(call => {
      const wrong = wrongAnswer(call, reached.get(call.id) ?? [])
      return wrong === undefined ? [] : [found(call, wrong)]
    })
  },
  drain: journal => {
    const calls = new Map(journal.calls.map(call => [call.id, call]))
    const ends = groupBy(journal.ends, ({ endpoint }) => endpoint)
    return journal.arrivals.flatMap(({ id, endpoint, at }) => {
      const call = calls.get(id)
      const since = Math.min(...(ends.get(endpoint) ?? []).map(end => end.at))
      const isLate = call !== undefined && at > since + DRAIN_BOUND && isSettled(journal, call.entry, at)
      return isLate ? [found({ ...call, endedAt: at }, `reached ${endpoint} ${Math.round(at - since)} ms after its end was acknowledged`)] : []
    })
  },
  'in-force': journal => {
    const services = servicesOf(journal)
    return journal.calls.filter(call => isSettled(journal, call.entry, call.sentAt) && isSettled(journal, call.entry, call.endedAt)).flatMap(call => {
      const allowed = mayBeInForce(journal.configurations, call.sentAt - IN_FORCE_BOUND, call.endedAt)
      if (allowed.some(configuration => isAllowed(call, configuration, services))) return []
      return [found(call, `answered ${call.answer.status} by a configuration before version ${allowed[0]?.version}`)]
    })
  },
  'never-back': journal => {
    const services = servicesOf(journal)
    return [...groupBy(journal.calls, ({ entry }) => entry)].flatMap(([entry, calls]) => goingBack(calls, journal, entry, services))
  },
  version: journal => {
    const calls = new Map(journal.calls.map(call => [call.id, call]))
    return journal.arrivals.filter(({ service, ran }) => service === 'pool' && ran).flatMap(({ id, endpoint, at, version }) => {
      const call = calls.get(id)
      const due = journal.versions.filter(named => named.version > version && named.at + VERSION_BOUND < at).at(0)
      if (call === undefined || due === undefined || isDisturbed(journal, [call.entry, 'store', nameOf(endpoint)], due.at - SETTLE_TIME, at)) return []
      return [found({ ...call, endedAt: at }, `began on version ${version} at ${endpoint}, ${Math.round(at - due.at)} ms after version ${due.version} was named`)]
    })
  },
  'whole-version': ({ loads, calmFrom }) => loads.filter(({ whole }) => !whole).map(({ endpoint, version }) => ({ at: calmFrom, detail: `${endpoint} took version ${version}, which was not whole` })),
  finished: journal => {
    const reached = groupBy(journal.arrivals, ({ id }) => id)
    const stops = journal.disturbances.filter(({ kind }) => kind === 'entry-stops')
    return journal.calls.filter(call => !isFinished(call)).flatMap(call => {
      const stop = stops.find(({ target, from }) => target === call.entry && from >= call.sentAt - GRACE && from <= call.endedAt)
      const arrivals = reached.get(call.id) ?? []
      if (stop === undefined || arrivals.length === 0 || isExcused(journal, call, arrivals)) return []
      return [found(call, `cut off after it had reached ${arrivals[0]?.endpoint}`)]
    })
  },
  answered: journal => journal.calls.filter(call => {
    const took = call.endedAt - call.sentAt
    return call.kind !== 'stream' && took > ROUTE_TIMEOUT + ANSWER_SLACK && isSettled(journal, call.entry, call.endedAt)
  }).map(call => found(call, `ended after ${Math.round(call.endedAt - call.sentAt)} ms`)),
  process: ({ processEnds }) => processEnds.flatMap(({ process, at, asked, code, took, up }) => {
    // One that has not come up heeds no signal yet, and has nothing to finish.
    const endedBySignal = asked === 'stop' && code === null && !up
    if (asked === 'kill' || endedBySignal) return []
    if (asked === 'nothing') return [{ at, detail: `${process} ended by itself, code ${code}` }]
    return took > GRACE || code !== 0 ? [{ at, detail: `${process} ended with code ${code}, ${Math.round(took)} ms after it was told to` }] : []
  }),
  served: ({ calls, configurations, calmFrom }) => {
    const keys = configurations.at(-1)?.keys ?? []
    const late = calls.filter(({ sentAt, key }) => sentAt >= calmFrom + RECOVERY && keys.includes(key))
    const served = late.filter(({ answer }) => answer.status === 200 && answer.whole).length
    return late.length === 0 || served / late.length >= LEAST_SERVED ? [] : [{ at: calmFrom, detail: `${served} of ${late.length} calls served once all was over` }]
  },
  ready: ({ unready, calmFrom }) => unready.map(entry => ({ at: calmFrom, detail: `${entry} takes no new callers` }))
}

/** All promises. */
export const promiseNames = Object.keys(checks) as readonly PromiseName[]

/**
 * Judges what was seen.
 *
 * @example
 * for (const { promise, detail } of judge(journal)) log.error('broken', { promise, detail })
 */
export function judge (journal: Journal): Violation[] {
  return promiseNames.flatMap(promise => checks[promise](journal).map(violation => ({ promise, ...violation })))
}

function found ({ id, kind, entry, sentAt, endedAt }: CallRecord, detail: string): Omit<Violation, 'promise'> {
  return { at: endedAt, detail: `${kind} ${id} by ${entry}, sent at ${Math.round(sentAt)}: ${detail}` }
}

/** The endpoint whose start has an id. */
function nameOf (start: string): string { return start.replace(/\.\d+$/, '') }

function mayRepeat (kind: CallRecord['kind']): boolean { return kind !== 'unsafe' }

/** Why a success is none; nothing when it is one. */
function wrongAnswer ({ kind, answer }: CallRecord, arrivals: readonly EndpointArrival[]): string | undefined {
  const signer = signerOf(answer)
  if (!arrivals.some(({ ran, endpoint }) => ran && endpoint === signer)) return `it is signed by ${signer}, which did not run it`
  if (kind !== 'stream') return answer.body === `answer of ${signer}` ? undefined : `the body "${answer.body.slice(0, 40)}" is not of ${signer}, which signed it`
  const ids = [...answer.body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id))
  const isWhole = ids.length === EVENTS_PER_STREAM && ids.every((id, index) => id === index + 1)
  return isWhole ? undefined : `its events are ${ids.join(',')}`
}

function isFinished ({ answer }: CallRecord): boolean { return answer.status !== 0 && answer.whole }

/** Something else than the stop may have ended the call: another fault, the endpoint's, or the route's time-out. */
function isExcused ({ disturbances }: Journal, call: CallRecord, arrivals: readonly EndpointArrival[]): boolean {
  const endpoints = new Set(arrivals.map(({ endpoint }) => nameOf(endpoint)))
  const others = disturbances.filter(({ kind, target }) => (target === call.entry && kind !== 'entry-stops') || endpoints.has(target))
  if (others.some(({ from, to }) => from <= call.endedAt && to >= call.sentAt - SETTLE_TIME)) return true
  return call.endedAt - call.sentAt >= ROUTE_TIMEOUT - ANSWER_SLACK
}

/** Configurations that may be in force in a span: the newest of those acknowledged before it, and all that came since. */
function mayBeInForce (configurations: readonly ConfigurationWrite[], from: number, to: number): ConfigurationWrite[] {
  const first = configurations.filter(({ at }) => at <= from).at(-1)
  return configurations.filter(({ at, version }) => at <= to && version >= (first?.version ?? 0))
}

/** The service that ran each request. */
function servicesOf ({ arrivals }: Journal): ReadonlyMap<string, string> {
  return new Map(arrivals.filter(({ ran }) => ran).map(({ id, service }) => [id, service]))
}

function isAllowed ({ id, kind, key, answer }: CallRecord, { movingTo, keys }: ConfigurationWrite, services: ReadonlyMap<string, string>): boolean {
  const service = services.get(id)
  if (answer.status === 401) return !keys.includes(key)
  if (answer.status === 404) return false
  if (service === undefined) return true
  return keys.includes(key) && (kind !== 'moving' || service === movingTo)
}

/** Calls that a process handled by an older configuration than one that it had shown before. */
function goingBack (calls: readonly CallRecord[], { configurations, processEnds }: Journal, entry: string, services: ReadonlyMap<string, string>): Omit<Violation, 'promise'>[] {
  const starts = processEnds.filter(({ process }) => process === entry).map(({ at }) => at)
  const broken: Omit<Violation, 'promise'>[] = []
  const shown: { version: number, at: number }[] = []
  for (const call of [...calls].sort((left, right) => left.endedAt - right.endedAt)) {
    const allowing = configurations.filter(configuration => configuration.at <= call.endedAt && isAllowed(call, configuration, services))
    const life = Math.max(-Infinity, ...starts.filter(at => at <= call.sentAt))
    const before = Math.max(0, ...shown.filter(({ at }) => at >= life && at < call.sentAt - ORDER_SLACK).map(({ version }) => version))
    const oldest = allowing[0]?.version ?? 0
    const newest = allowing.at(-1)?.version ?? 0
    if (newest > 0 && newest < before) broken.push(found(call, `handled by version ${newest} or older, after version ${before} had been shown`))
    if (oldest > 0) shown.push({ version: oldest, at: call.endedAt })
  }
  return broken
}

function groupBy<Item> (items: readonly Item[], keyOf: (item: Item) => string): ReadonlyMap<string, Item[]> {
  const groups = new Map<string, Item[]>()
  for (const item of items) {
    const key = keyOf(item)
    const group = groups.get(key)
    if (group === undefined) groups.set(key, [item])
    else group.push(item)
  }
  return groups
}
