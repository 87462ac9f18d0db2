/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** The promises that a soak checks, each against the records of callers, endpoints and the store. */
import type { FaultKind } from './fault-plan.js'
import { SETTLE_MILLISECONDS, VERSION_BOUND_MILLISECONDS, crowdedEntryOf, endpointNameOf, isDisturbed, isSettled, type CallRecord, type ConfigurationWrite, type Disturbance, type Journal, type ProcessExit } from './journal.js'
import { GRACE_MILLISECONDS, explanationOf, findAnswerError, findStop, isAnswered, isReadTooSlowly, isStream, timeoutOf, type Explanation } from './whole-answers.js'

/** A violation of a promise. */
export interface Violation {
  readonly promise: PromiseName
  readonly at: number
  readonly detail: string
}

/** Names of the promises. */
export type PromiseName =
  /** A request whose refusal states that it has not run never runs. */
  | 'not-run'
  /** A request that may not be repeated runs at most once. */
  | 'once'
  /** A successful response is the complete answer of an endpoint to this request; an incomplete one is recognisable as such. */
  | 'own-answer'
  /** No request reaches an endpoint later than a bound after the store acknowledged its drain or removal. */
  | 'drain'
  /** A configuration is in force within a bound. */
  | 'in-force'
  /** A process that has applied a configuration to a request applies no older one afterwards. */
  | 'never-back'
  /** No request starts on a version later than a bound after a newer one was published. */
  | 'version'
  /** An engine switches to complete versions only. Corruption is excused for a short time. */
  | 'whole-version'
  /** An entry that is stopped answers the requests that it has forwarded, whole. */
  | 'finished'
  /** At other times, a request that was forwarded is answered whole unless its timeout or a loss of its entry or endpoint prevents it. */
  | 'whole'
  /** A call is answered within the timeout of its route. */
  | 'answered'
  /** A process exits only when it is stopped, and within the grace period. */
  | 'process'
  /** After the last fault, callers are served, whatever the kind of their calls. */
  | 'served'
  /** Some time after a crowd has left an entry and before the next fault, callers of the entry are served. */
  | 'served-after-crowd'
  /** After the last fault, every entry accepts new callers. */
  | 'ready'
  /** After the last fault, every engine loads the newest version. */
  | 'newest-version'

/** Bounds of the users' platform, in milliseconds. */
export const DRAIN_BOUND_MILLISECONDS = 2_000
export const IN_FORCE_BOUND_MILLISECONDS = 2_000
/** An engine may switch to a version with a piece that was corrupted this many milliseconds before or later. */
const CORRUPTION_BOUND_MILLISECONDS = 3_000
/** Time after the timeout within which an answer may still end, in milliseconds. */
const ANSWER_SLACK_MILLISECONDS = 500
/** A request sent this many milliseconds after the end of another must not be handled by an older configuration. */
const ORDER_SLACK_MILLISECONDS = 100
/** Time after the last fault, or after a crowd has left, from which callers have to be served, in milliseconds. */
const RECOVERY_MILLISECONDS = 3_000
/** Share of calls that have to be served after the recovery time. */
const MIN_SERVED_SHARE = 0.95
/** The calls after a crowd are judged if there are this many. */
const MIN_CALLS_AFTER_CROWD = 15
/** A kind is judged on its own if it has this many calls, so that one failure does not decide. */
const MIN_JUDGED_CALLS = 40

const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503])

type Check = (journal: Journal) => Omit<Violation, 'promise'>[]

const checks: Record<PromiseName, Check> = {
  'not-run': ({ calls, arrivals }) => {
    const ran = new Set(arrivals.filter(arrival => arrival.ran).map(({ id }) => id))
    return calls.filter(({ id, kind, answer }) => !isRepeatable(kind) && notRunStatuses.has(answer.status) && ran.has(id)).map(call => violationOf(call, `answered with status ${call.answer.status}, but it ran`))
  },
  once: ({ calls, arrivals }) => {
    const runs = groupBy(arrivals.filter(({ ran }) => ran), ({ id }) => id)
    return calls.filter(({ id, kind }) => !isRepeatable(kind) && (runs.get(id)?.length ?? 0) > 1).map(call => violationOf(call, `ran ${runs.get(call.id)?.length} times`))
  },
  'own-answer': ({ calls, arrivals }) => {
    const reached = groupBy(arrivals, ({ id }) => id)
    return calls.filter(({ answer }) => answer.status === 200 && answer.whole).flatMap(call => {
      const error = findAnswerError(call, reached.get(call.id) ?? [])
      return error === undefined ? [] : [violationOf(call, error)]
    })
  },
  drain: journal => {
    const calls = new Map(journal.calls.map(call => [call.id, call]))
    const departures = groupBy(journal.departures, ({ endpoint }) => endpoint)
    return journal.arrivals.flatMap(({ id, endpoint, at }) => {
      const call = calls.get(id)
      const since = Math.min(...(departures.get(endpoint) ?? []).map(departure => departure.at))
      const isLate = call !== undefined && at > since + DRAIN_BOUND_MILLISECONDS && isSettled(journal, call.entry, at)
      return isLate ? [violationOf({ ...call, endedAt: at }, `reached ${endpoint} ${Math.round(at - since)} ms after its drain or removal was acknowledged`)] : []
    })
  },
  'in-force': journal => {
    const services = servicesOf(journal)
    return journal.calls.filter(call => isSettled(journal, call.entry, call.sentAt) && isSettled(journal, call.entry, call.endedAt)).flatMap(call => {
      const allowed = possibleConfigurations(journal.configurations, call.sentAt - IN_FORCE_BOUND_MILLISECONDS, call.endedAt)
      if (allowed.some(configuration => isAllowed(call, configuration, services))) return []
      return [violationOf(call, `answered with status ${call.answer.status} by a configuration older than version ${allowed[0]?.version}`)]
    })
  },
  'never-back': journal => {
    const services = servicesOf(journal)
    return [...groupBy(journal.calls, ({ entry }) => entry)].flatMap(([entry, calls]) => findRegressions(calls, journal, entry, services))
  },
  version: journal => {
    const calls = new Map(journal.calls.map(call => [call.id, call]))
    return journal.arrivals.filter(({ service, ran }) => service === 'pool' && ran).flatMap(({ id, endpoint, at, begunAt, version }) => {
      const call = calls.get(id)
      const newer = journal.versions.find(named => named.version > version)
      if (call === undefined || newer === undefined || hasLostContact(journal, call.entry, begunAt)) return []
      const late = begunAt - Math.max(newer.at, stableSince(journal, [call.entry, endpointNameOf(endpoint)], begunAt)) - VERSION_BOUND_MILLISECONDS
      if (late <= 0) return []
      return [violationOf({ ...call, endedAt: begunAt }, `reached ${endpoint} at ${Math.round(at)} and began ${Math.round(late)} ms late on version ${version}, ${Math.round(begunAt - newer.at)} ms after version ${newer.version} was published`)]
    })
  },
  'whole-version': ({ loads, arrivals }) => loads.flatMap(({ endpoint, version, at, wrongPieces }) => {
    const wrong = wrongPieces.filter(({ corruptedAt }) => corruptedAt === undefined || at - corruptedAt > CORRUPTION_BOUND_MILLISECONDS)
    if (wrong.length === 0) return []
    const pieces = wrong.map(({ index, corruptedAt }) => corruptedAt === undefined ? `${index} missing or of another version` : `${index} corrupted for ${Math.round(at - corruptedAt)} ms`)
    const begun = arrivals.filter(arrival => arrival.ran && arrival.endpoint === endpoint && arrival.version === version && arrival.begunAt >= at)
    return [{ at, detail: `${endpoint} switched to version ${version} and began ${begun.length} requests on it, with wrong pieces: ${pieces.join(', ')}` }]
  }),
  finished: journal => findUnanswered(journal).filter(({ call }) => findStop(journal, call) !== undefined).map(toViolation),
  whole: journal => findUnanswered(journal).filter(({ call }) => findStop(journal, call) === undefined).map(toViolation),
  answered: journal => journal.calls.filter(call => {
    const elapsed = call.endedAt - call.sentAt
    return !isStream(call.kind) && call.reading === undefined && elapsed > timeoutOf(call.kind) + ANSWER_SLACK_MILLISECONDS && isSettled(journal, call.entry, call.endedAt)
  }).map(call => violationOf(call, `ended after ${Math.round(call.endedAt - call.sentAt)} ms`)),
  process: journal => journal.processExits.flatMap(exit => {
    const { process, at, exitRequest, code, took, startedUp } = exit
    // A process that has not started up does not handle signals yet and has no requests to complete.
    const endedBySignal = exitRequest === 'stop' && code === null && !startedUp
    if (exitRequest === 'kill' || endedBySignal) return []
    if (exitRequest === 'nothing') return [{ at, detail: `${process} exited by itself with code ${code}` }]
    const isExpected = code === 0 || (code === 1 && hasCutSlowReader(journal, exit))
    return took - pausedDuring(journal, exit) > GRACE_MILLISECONDS || !isExpected ? [{ at, detail: `${process} exited with code ${code}, ${Math.round(took)} ms after the stop request` }] : []
  }),
  served: ({ calls, configurations, faultsEndedAt }) => {
    const keys = configurations.at(-1)?.keys ?? []
    const judged = calls.filter(({ sentAt, key }) => sentAt >= faultsEndedAt + RECOVERY_MILLISECONDS && keys.includes(key))
    const kinds = [...groupBy(judged, ({ kind }) => kind)].filter(([, ofKind]) => ofKind.length >= MIN_JUDGED_CALLS)
    return [['all kinds', judged] as const, ...kinds].flatMap(([name, ofKind]) => {
      const served = ofKind.filter(({ answer }) => answer.status === 200 && answer.whole).length
      return served >= MIN_SERVED_SHARE * ofKind.length ? [] : [{ at: faultsEndedAt, detail: `${served} of ${ofKind.length} calls of ${name} served after the last fault` }]
    })
  },
  'served-after-crowd': journal => journal.disturbances.flatMap(crowd => {
    const entry = crowdedEntryOf(crowd.target)
    const judged = entry === undefined ? [] : callsAfterCrowd(journal, crowd, entry)
    const served = judged.filter(({ answer }) => answer.status === 200 && answer.whole).length
    if (judged.length < MIN_CALLS_AFTER_CROWD || served >= MIN_SERVED_SHARE * judged.length) return []
    return [{ at: crowd.to, detail: `${served} of ${judged.length} calls by ${entry} served after a ${crowd.kind} had left it` }]
  }),
  ready: ({ unready, faultsEndedAt }) => unready.map(entry => ({ at: faultsEndedAt, detail: `${entry} accepts no new callers` })),
  'newest-version': ({ outdated, faultsEndedAt }) => outdated.map(engine => ({ at: faultsEndedAt, detail: `${engine} did not load the newest version` }))
}

/** All promises. */
export const promiseNames = Object.keys(checks) as readonly PromiseName[]

/**
 * Checks all promises and returns the violations.
 *
 * @example
 * for (const { promise, detail } of judge(journal)) log.error('broken', { promise, detail })
 */
export function judge (journal: Journal): Violation[] {
  return promiseNames.flatMap(promise => checks[promise](journal).map(violation => ({ promise, ...violation })))
}

/**
 * Counts the calls that were not answered and whose failure is explained, by what explains it.
 *
 * @example
 * const counts = countExplained(journal) // { timeout: 2, 'endpoint-lost': 1 }
 */
export function countExplained (journal: Journal): Partial<Record<Explanation, number>> {
  const reached = groupBy(journal.arrivals, ({ id }) => id)
  const explanations = journal.calls.filter(call => !isAnswered(call)).map(call => explanationOf(journal, call, reached.get(call.id) ?? []))
  const counts: Partial<Record<Explanation, number>> = {}
  for (const explanation of explanations) if (explanation !== undefined) counts[explanation] = (counts[explanation] ?? 0) + 1
  return counts
}

function violationOf ({ id, kind, entry, sentAt, endedAt }: CallRecord, detail: string): Omit<Violation, 'promise'> {
  return { at: endedAt, detail: `${kind} ${id} by ${entry}, sent at ${Math.round(sentAt)}: ${detail}` }
}

/** Faults of entries that do not excuse a request that begins late on an old version: a full link, and a reload. */
const harmlessToVersions: ReadonlySet<FaultKind> = new Set(['store-way-slow', 'peers-way-slow', 'all-way-slow', 'entry-reloads'])

/** Returns whether an entry, or its connections, failed or came back within the settle time before a point in time. */
function hasLostContact ({ disturbances }: Journal, entry: string, at: number): boolean {
  const failures = disturbances.filter(({ kind }) => !harmlessToVersions.has(kind))
  return isDisturbed({ disturbances: failures }, [entry, 'links'], at - SETTLE_MILLISECONDS, at)
}

/** Returns since when the store has been stable, and the links of some targets have been usable. */
function stableSince ({ disturbances }: Journal, targets: readonly string[], at: number): number {
  const ends = disturbances.filter(({ from }) => from <= at).map(({ kind, target, to }) => {
    if (target === 'store') return to + SETTLE_MILLISECONDS
    return kind.includes('-way-') && targets.includes(target) && !harmlessToVersions.has(kind) ? to : -Infinity
  })
  return Math.max(-Infinity, ...ends)
}

/** Returns the calls with valid keys to an entry that a crowd has left, until the next fault other than a crowd at another entry. */
function callsAfterCrowd ({ calls, configurations, disturbances }: Journal, crowd: Disturbance, entry: string): CallRecord[] {
  const others = disturbances.filter(other => other !== crowd && other.to >= crowd.to && [undefined, entry].includes(crowdedEntryOf(other.target)))
  const until = Math.min(Infinity, ...others.map(({ from }) => from))
  const keys = configurations.filter(({ at }) => at <= crowd.to).at(-1)?.keys ?? []
  return calls.filter(call => call.entry === entry && keys.includes(call.key) && call.sentAt >= crowd.to + RECOVERY_MILLISECONDS && call.endedAt < until)
}

function isRepeatable (kind: CallRecord['kind']): boolean { return kind !== 'unsafe' }

interface UnansweredCall {
  readonly call: CallRecord
  readonly endpoints: readonly string[]
}

/** Returns the calls that were forwarded and not answered, although nothing explains it. */
function findUnanswered (journal: Journal): UnansweredCall[] {
  const reached = groupBy(journal.arrivals, ({ id }) => id)
  return journal.calls.filter(call => !isAnswered(call)).flatMap(call => {
    const arrivals = reached.get(call.id) ?? []
    return explanationOf(journal, call, arrivals) === undefined ? [{ call, endpoints: arrivals.map(({ endpoint }) => endpoint) }] : []
  })
}

function toViolation ({ call, endpoints }: UnansweredCall): Omit<Violation, 'promise'> {
  const { status, whole } = call.answer
  return violationOf(call, `${whole ? 'failed' : 'interrupted'} with status ${status} after it had reached ${endpoints.join(', ')}, ${Math.round(call.endedAt - call.sentAt)} ms after it was sent, read ${call.reading?.type ?? 'at once'}`)
}

/** Returns whether a stop cut the answer of a caller that could not have read it in time. */
function hasCutSlowReader ({ calls }: Journal, { process, at, took }: ProcessExit): boolean {
  return calls.some(call => call.entry === process && !call.answer.whole && call.sentAt < at && isReadTooSlowly(call, at - took))
}

/** Returns how long a process was paused between its stop request and its exit, in milliseconds. */
function pausedDuring ({ disturbances }: Journal, { process, at, took }: ProcessExit): number {
  const pauses = disturbances.filter(({ kind, target }) => kind.endsWith('-paused') && target === process)
  return pauses.reduce((sum, { from, to }) => sum + Math.max(0, Math.min(to, at) - Math.max(from, at - took)), 0)
}

/** Returns the configurations that may be in force in a time span: the newest acknowledged before its start, and all written up to its end. */
function possibleConfigurations (configurations: readonly ConfigurationWrite[], from: number, to: number): ConfigurationWrite[] {
  const first = configurations.filter(({ at }) => at <= from).at(-1)
  return configurations.filter(({ at, version }) => at <= to && version >= (first?.version ?? 0))
}

/** Returns the service that ran each request. */
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

/** Returns the calls that a process handled by an older configuration than one it had applied before. */
function findRegressions (calls: readonly CallRecord[], { configurations, processExits }: Journal, entry: string, services: ReadonlyMap<string, string>): Omit<Violation, 'promise'>[] {
  const starts = processExits.filter(({ process }) => process === entry).map(({ at }) => at)
  const regressions: Omit<Violation, 'promise'>[] = []
  const applied: { version: number, at: number }[] = []
  for (const call of [...calls].sort((left, right) => left.endedAt - right.endedAt)) {
    const allowing = configurations.filter(configuration => configuration.at <= call.endedAt && isAllowed(call, configuration, services))
    const startedAt = Math.max(-Infinity, ...starts.filter(at => at <= call.sentAt))
    const before = Math.max(0, ...applied.filter(({ at }) => at >= startedAt && at < call.sentAt - ORDER_SLACK_MILLISECONDS).map(({ version }) => version))
    const oldest = allowing[0]?.version ?? 0
    const newest = allowing.at(-1)?.version ?? 0
    if (newest > 0 && newest < before) regressions.push(violationOf(call, `handled by version ${newest} or older, after version ${before} had been applied`))
    if (oldest > 0) applied.push({ version: oldest, at: call.endedAt })
  }
  return regressions
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
