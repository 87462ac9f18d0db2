/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Explains the result of one request from the log lines of several processes: the request's own lines in order, the state
 * changes that its processes logged about its endpoints at that time, and the cause as one keyword.
 */
import type { LogFields } from '../observe/log.js'

/** A parsed log line. */
export interface LogLine {
  readonly time: number
  readonly event: string
  readonly fields: Readonly<Record<string, string>>
  /** The line as it was logged, from its time on. */
  readonly text: string
}

/** The cause of a request's result. */
export type RequestCause =
  | 'in-time' | 'pool-busy' | 'admitted-late' | 'gave-way' | 'endpoint-slower-than-expected' | 'stream-paused' | 'overloaded' | 'no-endpoint' | 'ends-endpoints' | 'endpoints-spared' | 'region-not-allowed' | 'zones-evacuated' | 'buffers-full' | 'no-configuration'
  | 'not-allowed' | 'endpoint-failed' | 'time-over' | 'caller-left' | 'entry-stopped' | 'unfinished'

/** The explanation of one request. */
export interface Explanation {
  readonly cause: RequestCause
  /** What the operator should check next. */
  readonly advice: string
  /** The request's own lines, oldest first. */
  readonly request: readonly LogLine[]
  /** Lines of its processes about its endpoints, the store and versions around that time, oldest first. */
  readonly around: readonly LogLine[]
}

/**
 * Lines around a request are collected from this long before its first line until its last line, in milliseconds. They show
 * the state by which the request was routed.
 */
const CONTEXT_LEAD_MILLISECONDS = 3_000
/** An answer that took more than this multiple of the expected time was delayed by something that the estimate did not include. */
const SLOWER_FACTOR = 1.5
/** Events that change the state by which a process routes, independent of an endpoint. */
const routingStateEvents = new Set(['process-paused', 'store-lost', 'store-regained', 'endpoints-missing', 'epoch-began', 'history-lost', 'configuration-older', 'configuration-adopted', 'version-wanted', 'version-dated', 'published-from-peer', 'entry-started', 'entry-ready', 'entry-stopping', 'evacuation-began', 'evacuation-ended'])
/** Events whose state holds until the next event of the same name, however long ago they were logged. */
const persistentEvents: ReadonlySet<string> = new Set(['epoch-began', 'configuration-adopted', 'evacuation-began', 'evacuation-ended'])
/** Events about one endpoint or its agent. */
const endpointEvents = new Set(['endpoint-listed', 'endpoint-gone', 'endpoint-unreachable', 'endpoint-reachable', 'agent-lost', 'agent-regained'])
/** Notices that endpoints sent about themselves. They hold for a long time and reduce or stop the requests to those endpoints. */
const noticeEvents = new Set(['endpoint-limited', 'endpoint-limit-ended', 'endpoint-leaving', 'endpoint-resting', 'endpoint-cold', 'endpoint-cold-ended'])

const pairPattern = /(\w+)=("(?:[^"\\]|\\.)*"|\S*)/g

/**
 * Parses a log line. Text before the time is skipped, since log collectors add prefixes of their own.
 *
 * @returns `undefined` if the text is not a log line.
 * @example
 * parseLogLine('time=2026-12-02T05:30:00.000Z level=info event=entry-ready')?.event // 'entry-ready'
 */
export function parseLogLine (text: string): LogLine | undefined {
  const timeOffset = text.indexOf('time=')
  if (timeOffset < 0) return undefined
  const fields: Record<string, string> = {}
  for (const [, name = '', value = ''] of text.slice(timeOffset).matchAll(pairPattern)) fields[name] = unquote(value)
  const time = Date.parse(fields['time'] ?? '')
  const { event } = fields
  return event === undefined || Number.isNaN(time) ? undefined : { time, event, fields, text: text.slice(timeOffset) }
}

/**
 * Explains one request.
 *
 * @param id The request id that the caller assigned.
 * @param lines Lines of all processes, in any order.
 * @returns `undefined` if no line has this id.
 * @example
 * const explanation = explainRequest('9c41d07b', lines)
 */
export function explainRequest (id: string, lines: readonly LogLine[]): Explanation | undefined {
  const request = lines.filter(({ fields }) => fields['id'] === id).sort((left, right) => left.time - right.time)
  const first = request[0]
  const last = request.at(-1)
  if (first === undefined || last === undefined) return undefined
  const requestEndpoints = new Set(request.flatMap(({ fields }) => fields['endpoint'] ?? []))
  const hosts = new Set(lines.filter(({ event, fields }) => event === 'endpoint-listed' && requestEndpoints.has(fields['endpoint'] ?? '')).map(({ fields }) => hostOf(fields['address'])))
  const instances = new Set(request.map(({ fields }) => fields['instance']))
  const avoidedEndpoints = request.some(({ fields }) => fields['spared'] !== undefined || fields['code'] === 'endpoints-spared')
  const isAround = ({ time, event, fields }: LogLine): boolean => {
    if (avoidedEndpoints && noticeEvents.has(event)) return true
    if (time < first.time - CONTEXT_LEAD_MILLISECONDS) return false
    const aboutEndpoint = endpointEvents.has(event) || noticeEvents.has(event)
    return routingStateEvents.has(event) || (aboutEndpoint && (requestEndpoints.has(fields['endpoint'] ?? '') || hosts.has(hostOf(fields['agent']))))
  }
  const before = lines.filter(({ time, fields }) => time <= last.time && instances.has(fields['instance']))
  const persistentLines = latestLines(before.filter(({ event, time }) => persistentEvents.has(event) && time < first.time))
  const around = before.filter(line => persistentLines.has(line) || isAround(line))
  const cause = causeOf(request)
  return { cause, advice: adviceByCause[cause], request, around: around.sort((left, right) => left.time - right.time) }
}

/** Returns the latest line for each pair of instance and event. */
function latestLines (lines: readonly LogLine[]): ReadonlySet<LogLine> {
  const last = new Map<string, LogLine>()
  for (const line of lines) {
    const key = `${line.fields['instance']} ${line.event}`
    if (line.time >= (last.get(key)?.time ?? -Infinity)) last.set(key, line)
  }
  return new Set(last.values())
}

/** Returns the fields of the summary line, which is printed last. */
export function explanationFields ({ cause, advice, request }: Explanation): LogFields {
  return { event: 'explained', id: request[0]?.fields['id'], cause, lines: request.length, advice }
}

const adviceByCause: Record<RequestCause, string> = {
  'in-time': 'this request was answered in time; ask the caller for the ids of its other attempts',
  'pool-busy': 'the answer was late, as the entry expected, since the pool had no better endpoint: check the load of the pool and switches of versions',
  'admitted-late': 'no endpoint could answer in time, so the request waited behind all that could be in time: check the load of the pool',
  'gave-way': 'refused although an endpoint had room, since the pool is short and this request is less urgent or its organisation sends far more than its share: check the load of the pool and the priorities of routes and organisations',
  'endpoint-slower-than-expected': 'the endpoint or the network path to it was slower than estimated: check load_age, round_trip and the log of its agent',
  'stream-paused': 'the pause between two events exceeded the objective: check the load of the endpoint, and weight transfers on its instance',
  overloaded: 'refused early, since every endpoint was expected to answer too late or refused the request: check the load of the pool',
  'ends-endpoints': 'endpoints were lost repeatedly while they ran this request, so it is held back: check request-held-back, and the effect of its body on an endpoint',
  'endpoints-spared': 'endpoints receive fewer requests because they asked for it or are cold: check the field spared, and endpoint-limited, endpoint-leaving, endpoint-resting or endpoint-cold of each; find out what they lack, and whether their replacements have started',
  'buffers-full': 'the memory for callers that read or send slowly is used up: check answers_paused and answers_reclaimed, and which callers do not read their answers',
  'no-endpoint': 'no endpoint may serve it: check which endpoints are listed, and why each of them is excluded (detail)',
  'region-not-allowed': 'no listed endpoint is in a region that both the route and the organisation allow: check allowedRegions of both, the setting regions, and which zones endpoint-listed names',
  'zones-evacuated': 'every endpoint that it may run at is in an evacuated zone: check evacuation-began, and remove the key of the evacuation if it is over',
  'no-configuration': 'the process had just started and had no configuration: check store-lost and its seeds',
  'not-allowed': 'the configuration in force does not allow this route, key or size: compare its version with the published one',
  'endpoint-failed': 'the last endpoint failed or broke off its answer, and the request could not be retried on another endpoint: check the last attempt-ended',
  'time-over': 'the deadline of the caller or the timeout of the route passed: check when the last attempt was sent',
  'caller-left': 'the caller closed its connection before the answer was complete',
  'entry-stopped': 'the entry stopped before the answer was complete: check answer-cut and entry-stopped, and whether stop-patience-seconds is longer than the answers of the route',
  unfinished: 'the final line is missing: the process ended, or log lines were dropped (see log-lines-left-out)'
}

const causeByRefusalCode: Readonly<Record<string, RequestCause>> = { overloaded: 'overloaded', 'gave-way': 'gave-way', 'no-endpoint': 'no-endpoint', 'ends-endpoints': 'ends-endpoints', 'endpoints-spared': 'endpoints-spared', 'region-not-allowed': 'region-not-allowed', 'zones-evacuated': 'zones-evacuated', 'buffers-full': 'buffers-full', 'no-configuration': 'no-configuration', 'deadline-passed': 'time-over' }

const causeByFailureCode: Readonly<Record<string, RequestCause>> = { 'timed-out': 'time-over', 'buffers-full': 'buffers-full' }

/** Determines the cause of a request's result from its own lines, oldest first. */
export function causeOf (request: readonly LogLine[]): RequestCause {
  const end = request.find(({ event }) => event === 'request-ended')?.fields
  if (end === undefined) return 'unfinished'
  if (request.some(({ event }) => event === 'answer-cut')) return 'entry-stopped'
  const findCause = lookUp(causeByResult, end['result'])
  return findCause === undefined ? 'unfinished' : findCause(end, request)
}

/** Looks up a name from a log file. Only own keys count, since the file may contain any word, such as `constructor`. */
function lookUp<Value> (table: Readonly<Record<string, Value>>, name: string | undefined): Value | undefined {
  return name !== undefined && Object.hasOwn(table, name) ? table[name] : undefined
}

const causeByResult: Readonly<Record<string, (end: LogLine['fields'], request: readonly LogLine[]) => RequestCause>> = {
  answered: (end, request) => {
    if (Number(end['status']) >= 500) return 'endpoint-failed'
    const time = Number(end['first'] ?? end['took'])
    if (time > Number(end['objective'])) {
      const sent = request.filter(({ event }) => event === 'request-sent').at(-1)?.fields
      if (request.some(({ event, fields }) => event === 'request-sent' && fields['admitted'] === 'late')) return 'admitted-late'
      const expected = Number(sent?.['expected'])
      if (sent?.['spared'] !== undefined && time <= SLOWER_FACTOR * expected) return 'endpoints-spared'
      return time > SLOWER_FACTOR * expected ? 'endpoint-slower-than-expected' : 'pool-busy'
    }
    return Number(end['gap']) > Number(end['objective']) ? 'stream-paused' : 'in-time'
  },
  refused: end => lookUp(causeByRefusalCode, end['code']) ?? 'not-allowed',
  failed: end => lookUp(causeByFailureCode, end['code']) ?? 'endpoint-failed',
  stopped: () => 'entry-stopped',
  abandoned: () => 'caller-left'
}

function unquote (value: string): string {
  if (!value.startsWith('"')) return value
  try {
    return String(JSON.parse(value))
  } catch {
    // A line that was truncated within a value is still shown.
    return value.slice(1)
  }
}

function hostOf (address: string | undefined): string { return address?.split(':')[0] ?? '' }
