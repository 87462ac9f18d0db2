/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Judges whether answers are whole, and what explains one that is not. */
import { EVENTS_PER_STREAM, LONG_TIMEOUT_MILLISECONDS, signerOf } from '@drumdrift/stand-ins'
import type { FaultKind } from './fault-plan.js'
import { VERSION_BOUND_MILLISECONDS, endpointNameOf, isDisturbed, isSettled, type CallRecord, type Disturbance, type EndpointArrival, type Journal } from './journal.js'

/** Timeout of the other routes, in milliseconds. */
const SHORT_TIMEOUT_MILLISECONDS = 2_000
/** The platform kills a process this many milliseconds after the stop request. Also the stop timeout of the processes, which exit somewhat earlier. */
export const GRACE_MILLISECONDS = 8_000
/** An entry closes its connections this many milliseconds before its stop timeout. */
const CLOSING_RESERVE_MILLISECONDS = 500
/**
 * A request that has not begun may be taken back this long after a newer version was published, in milliseconds: the order to a queue takes
 * time. An entry that has lost contact counts from before the loss.
 */
const TAKEN_BACK_AFTER_MILLISECONDS = VERSION_BOUND_MILLISECONDS / 2
/** An entry may end an answer this many milliseconds before the timeout of its route. */
const TIMEOUT_SLACK_MILLISECONDS = 50
const MILLISECONDS_PER_SECOND = 1_000

/** What explains an answer that is not whole. */
export type Explanation =
  /** The request had not reached an endpoint. */
  | 'not-forwarded'
  /** The timeout of the route was reached, and a fault had delayed the answer. */
  | 'timeout'
  /** The entry was killed. */
  | 'entry-killed'
  /** An endpoint that the request reached ended or did not answer, or the link to it was cut. */
  | 'endpoint-lost'
  /** The request had not begun when the version of its endpoint was about to pass its bound, so its entry took it back. */
  | 'old-version'
  /** The stop timeout of the entry was reached before the caller could have read the answer. */
  | 'read-too-slowly'

/** Faults of an endpoint that end answers. A stalled or slow link and a pause between events only delay them. */
const endingFaults: ReadonlySet<FaultKind> = new Set(['endpoint-crashes', 'endpoint-drains', 'endpoint-mute', 'endpoint-way-cut'])
/** Status of a request that was forwarded and may have run. */
const FAILED_FORWARDING = 502
/** Failures of an entry's own or of an endpoint, in place of the answer. */
const failureStatuses: ReadonlySet<number> = new Set([0, 500, 502, 504])

interface Context {
  readonly journal: Journal
  readonly call: CallRecord
  readonly arrivals: readonly EndpointArrival[]
}

const explains: Record<Explanation, (context: Context) => boolean> = {
  'not-forwarded': ({ arrivals }) => arrivals.length === 0,
  timeout: context => context.call.endedAt - context.call.sentAt >= timeoutOf(context.call.kind) - TIMEOUT_SLACK_MILLISECONDS && isDelayed(context),
  'entry-killed': ({ journal, call }) => isDisturbed(ofKinds(journal, new Set(['entry-killed'])), [call.entry], call.sentAt, call.endedAt),
  'endpoint-lost': ({ journal, call, arrivals }) => isDisturbed(ofKinds(journal, endingFaults), arrivals.map(({ endpoint }) => endpointNameOf(endpoint)), call.sentAt, call.endedAt),
  'old-version': ({ journal, call, arrivals }) => {
    const { answer, entry, sentAt, endedAt } = call
    const publishedBefore = isSettled(journal, entry, endedAt) ? endedAt - TAKEN_BACK_AFTER_MILLISECONDS : endedAt
    const newer = journal.versions.filter(({ at }) => at <= publishedBefore && at >= sentAt - VERSION_BOUND_MILLISECONDS)
    return answer.status === FAILED_FORWARDING && arrivals.some(({ service, begunAt, version }) => service === 'pool' && newer.some(named => named.version > version || begunAt > endedAt))
  },
  'read-too-slowly': ({ journal, call }) => {
    const stop = findStop(journal, call)
    return stop !== undefined && isReadTooSlowly(call, stop.from)
  }
}

/** Returns whether a pause of the entry, or any fault of the endpoints that the request reached, fell into a call. */
function isDelayed ({ journal, call, arrivals }: Context): boolean {
  const { entry, sentAt, endedAt } = call
  const endpoints = arrivals.map(({ endpoint }) => endpointNameOf(endpoint))
  const engines = arrivals.some(({ service }) => service === 'pool') ? ['engines'] : []
  return isDisturbed(journal, [...endpoints, ...engines], sentAt, endedAt) || isDisturbed(ofKinds(journal, new Set(['entry-paused'])), [entry], sentAt, endedAt)
}

/** Returns the timeout of the route of a kind of calls, in milliseconds. */
export function timeoutOf (kind: CallRecord['kind']): number { return isStream(kind) || kind === 'large' ? LONG_TIMEOUT_MILLISECONDS : SHORT_TIMEOUT_MILLISECONDS }

/** Returns whether calls of a kind are answered with streams. */
export function isStream (kind: CallRecord['kind']): boolean { return kind === 'stream' || kind === 'waiting-stream' }

/** Returns whether a call got a complete answer, which may be a refusal but no failure. */
export function isAnswered ({ answer }: CallRecord): boolean { return answer.whole && !failureStatuses.has(answer.status) }

/**
 * Returns what explains that a call was not answered; `undefined` if nothing does.
 *
 * @param arrivals The endpoints that the request reached.
 * @example
 * if (!isAnswered(call) && explanationOf(journal, call, arrivals) === undefined) report(call)
 */
export function explanationOf (journal: Journal, call: CallRecord, arrivals: readonly EndpointArrival[]): Explanation | undefined {
  const names = Object.keys(explains) as Explanation[]
  return names.find(name => explains[name]({ journal, call, arrivals }))
}

/** Returns the stop of its entry that a call overlaps; `undefined` if there is none. */
export function findStop ({ disturbances }: Pick<Journal, 'disturbances'>, { entry, sentAt, endedAt }: CallRecord): Disturbance | undefined {
  return disturbances.find(({ kind, target, from, to }) => kind === 'entry-stops' && target === entry && from <= endedAt && to >= sentAt)
}

/** Returns whether a caller could not read its answer before an entry that is stopped closes its connections. */
export function isReadTooSlowly ({ sentAt, endedAt, shape, reading }: CallRecord, stoppedAt: number): boolean {
  if (reading === undefined || shape === undefined) return false
  const closedAt = stoppedAt + GRACE_MILLISECONDS - CLOSING_RESERVE_MILLISECONDS
  const bytes = shape.events * shape.paddingBytes
  const readingTime = reading.type === 'in-blocks' ? bytes / reading.rate * MILLISECONDS_PER_SECOND : reading.pauseMilliseconds
  return endedAt >= closedAt && sentAt + readingTime >= closedAt
}

/**
 * Returns why a successful response is wrong; `undefined` if it is right.
 *
 * @example
 * const error = findAnswerError(call, arrivals)
 */
export function findAnswerError ({ kind, answer, shape }: CallRecord, arrivals: readonly EndpointArrival[]): string | undefined {
  const signer = signerOf(answer)
  const padding = shape === undefined || shape.paddingBytes === 0 ? '' : `(${shape.paddingBytes})`
  if (!arrivals.some(({ ran, endpoint }) => ran && endpoint === signer)) return `signed by ${signer}, which did not run the request`
  if (!isStream(kind)) return answer.body === `answer of ${signer}${padding}` ? undefined : `the body "${answer.body.slice(0, 40)}" is not from ${signer}, which signed it`
  return findStreamError(answer.body, shape?.events ?? EVENTS_PER_STREAM, padding)
}

function findStreamError (body: string, events: number, padding: string): string | undefined {
  const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id))
  if (ids.length !== events || ids.some((id, index) => id !== index + 1)) return `wrong sequence of events: ${ids.join(',')}`
  const paddings = [...body.matchAll(/\((\d+)\)$/gm)].map(([found]) => found)
  const expected = padding === '' ? 0 : events
  return paddings.length === expected && paddings.every(found => found === padding) ? undefined : `wrong sizes of events: ${paddings.join(',')}`
}

function ofKinds ({ disturbances }: Journal, kinds: ReadonlySet<FaultKind>): Pick<Journal, 'disturbances'> {
  return { disturbances: disturbances.filter(({ kind }) => kinds.has(kind)) }
}
