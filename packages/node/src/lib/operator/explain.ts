/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Explains what happened to one request from the log lines of several processes: its own lines in order, what its
 * processes learned about its endpoints at that time, and the cause in a word.
 */
import type { LogFields } from '../observe/log.js'

/** A log line, taken apart. */
export interface LogLine {
  readonly time: number
  readonly event: string
  readonly fields: Readonly<Record<string, string>>
  /** As it was written. */
  readonly text: string
}

/** Why a request ended as it did. */
export type RequestCause =
  | 'in-time' | 'pool-busy' | 'endpoint-slower-than-expected' | 'stream-paused' | 'overloaded' | 'no-endpoint' | 'ends-endpoints' | 'endpoints-spared' | 'no-configuration'
  | 'not-allowed' | 'endpoint-failed' | 'time-over' | 'caller-left' | 'unfinished'

/** What is known of one request. */
export interface Explanation {
  readonly cause: RequestCause
  /** What to look at next. */
  readonly advice: string
  /** The request's own lines, the first one first. */
  readonly request: readonly LogLine[]
  /** What its processes learned of its endpoints, of the store and of versions around that time. */
  readonly around: readonly LogLine[]
}

/** Lines from so long before a request's first line until its last one tell what was believed then, in milliseconds. */
const AROUND_BEFORE = 3_000
/** An answer that took this many times what was expected was held up where nobody expected it. */
const SLOWER_FACTOR = 1.5
/** Events that change what a process believes, whatever endpoint they are about. */
const beliefs = new Set(['store-lost', 'store-regained', 'epoch-began', 'history-lost', 'configuration-older', 'configuration-adopted', 'version-wanted', 'published-from-peer', 'entry-started', 'entry-ready', 'entry-stopping'])
/** Events that say by what a process goes on until the next one of the kind, however long that takes. */
const standingEvents: ReadonlySet<string> = new Set(['epoch-began', 'configuration-adopted'])
/** Events about one endpoint or its agent. */
const endpointEvents = new Set(['endpoint-listed', 'endpoint-gone', 'agent-lost', 'agent-regained'])
/** What endpoints said of themselves, which holds for long and keeps requests from those that it is about. */
const noticeEvents = new Set(['endpoint-limited', 'endpoint-limit-ended', 'endpoint-leaving', 'endpoint-resting'])

const pair = /(\w+)=("(?:[^"\\]|\\.)*"|\S*)/g

/**
 * Takes a log line apart. What stands before its time is skipped, since collectors put their own words there.
 *
 * @returns Nothing when it is no log line.
 * @example
 * parseLogLine('time=2026-12-02T05:30:00.000Z level=info event=entry-ready')?.event // 'entry-ready'
 */
export function parseLogLine (text: string): LogLine | undefined {
  const begin = text.indexOf('time=')
  if (begin < 0) return undefined
  const fields: Record<string, string> = {}
  for (const [, name = '', value = ''] of text.slice(begin).matchAll(pair)) fields[name] = unquoted(value)
  const time = Date.parse(fields['time'] ?? '')
  const { event } = fields
  return event === undefined || Number.isNaN(time) ? undefined : { time, event, fields, text: text.slice(begin) }
}

/**
 * Explains one request.
 *
 * @param id The caller's name for it.
 * @param lines Lines of all processes, in any order.
 * @returns Nothing when no line names the request.
 * @example
 * const explanation = explainRequest('9c41d07b', lines)
 */
export function explainRequest (id: string, lines: readonly LogLine[]): Explanation | undefined {
  const request = lines.filter(({ fields }) => fields['id'] === id).sort((left, right) => left.time - right.time)
  const first = request[0]
  const last = request.at(-1)
  if (first === undefined || last === undefined) return undefined
  const about = new Set(request.flatMap(({ fields }) => fields['endpoint'] ?? []))
  const hosts = new Set(lines.filter(({ event, fields }) => event === 'endpoint-listed' && about.has(fields['endpoint'] ?? '')).map(({ fields }) => hostOf(fields['address'])))
  const instances = new Set(request.map(({ fields }) => fields['instance']))
  const spared = request.some(({ fields }) => fields['spared'] !== undefined || fields['code'] === 'endpoints-spared')
  const isAround = ({ time, event, fields }: LogLine): boolean => {
    if (spared && noticeEvents.has(event)) return true
    if (time < first.time - AROUND_BEFORE) return false
    const ofEndpoint = endpointEvents.has(event) || noticeEvents.has(event)
    return beliefs.has(event) || (ofEndpoint && (about.has(fields['endpoint'] ?? '') || hosts.has(hostOf(fields['agent']))))
  }
  const before = lines.filter(({ time, fields }) => time <= last.time && instances.has(fields['instance']))
  const standing = lastOfEach(before.filter(({ event, time }) => standingEvents.has(event) && time < first.time))
  const around = before.filter(line => standing.has(line) || isAround(line))
  const cause = causeOf(request)
  return { cause, advice: advices[cause], request, around: around.sort((left, right) => left.time - right.time) }
}

/** The last line of each event of each instance. */
function lastOfEach (lines: readonly LogLine[]): ReadonlySet<LogLine> {
  const last = new Map<string, LogLine>()
  for (const line of lines) {
    const key = `${line.fields['instance']} ${line.event}`
    if (line.time >= (last.get(key)?.time ?? -Infinity)) last.set(key, line)
  }
  return new Set(last.values())
}

/** Fields of the line that closes an explanation. */
export function explanationFields ({ cause, advice, request }: Explanation): LogFields {
  return { event: 'explained', id: request[0]?.fields['id'], cause, lines: request.length, advice }
}

const advices: Record<RequestCause, string> = {
  'in-time': 'nothing failed here; ask the caller for the id of its other attempts',
  'pool-busy': 'the answer was late as expected: the pool had no better endpoint; look at the load and at switches',
  'endpoint-slower-than-expected': 'the endpoint or the way to it was slower than known: see load_age, round_trip and its agent\'s log',
  'stream-paused': 'events paused for longer than the objective: look at the endpoint\'s load, and at transfers of weights beside it',
  overloaded: 'refused early, as every endpoint was expected too late or refused it: look at the load of the pool',
  'ends-endpoints': 'endpoints were lost under this request again and again, so it is held back: see request-held-back, and what its body does to an endpoint',
  'endpoints-spared': 'endpoints are sent less because they ask for it, see spared, and endpoint-limited, endpoint-leaving or endpoint-resting of each: look at what they are in need of, and whether their successors have come',
  'no-endpoint': 'no endpoint may take it: see which are listed, and whether all hold a version that is due to be replaced',
  'no-configuration': 'the process had just started and knew no configuration: see store-lost and its seeds',
  'not-allowed': 'the configuration in force has no such route, key or size: compare its version with the one published',
  'endpoint-failed': 'the last endpoint broke off or failed, and it could not go elsewhere: see the last attempt-ended',
  'time-over': 'the caller\'s deadline or the route\'s time-out passed: see when the last attempt was sent',
  'caller-left': 'the caller closed its connection before the answer',
  unfinished: 'no final line: the process ended, or lines were left out (log-lines-left-out)'
}

const refusals: Readonly<Record<string, RequestCause>> = { overloaded: 'overloaded', 'no-endpoint': 'no-endpoint', 'ends-endpoints': 'ends-endpoints', 'endpoints-spared': 'endpoints-spared', 'no-configuration': 'no-configuration', 'deadline-passed': 'time-over' }

/** Why a request ended as it did, from its own lines in order. */
export function causeOf (request: readonly LogLine[]): RequestCause {
  const end = request.find(({ event }) => event === 'request-ended')?.fields
  if (end === undefined) return 'unfinished'
  const handler = lookUp(results, end['result'])
  return handler === undefined ? 'unfinished' : handler(end, request)
}

/** What a table has under a name from a log file, which may be any word. */
function lookUp<Value> (table: Readonly<Record<string, Value>>, name: string | undefined): Value | undefined {
  return name !== undefined && Object.hasOwn(table, name) ? table[name] : undefined
}

const results: Readonly<Record<string, (end: LogLine['fields'], request: readonly LogLine[]) => RequestCause>> = {
  answered: (end, request) => {
    if (Number(end['status']) >= 500) return 'endpoint-failed'
    const time = Number(end['first'] ?? end['took'])
    if (time > Number(end['objective'])) {
      const sent = request.filter(({ event }) => event === 'request-sent').at(-1)?.fields
      const expected = Number(sent?.['expected'])
      if (sent?.['spared'] !== undefined && time <= SLOWER_FACTOR * expected) return 'endpoints-spared'
      return time > SLOWER_FACTOR * expected ? 'endpoint-slower-than-expected' : 'pool-busy'
    }
    return Number(end['gap']) > Number(end['objective']) ? 'stream-paused' : 'in-time'
  },
  refused: end => lookUp(refusals, end['code']) ?? 'not-allowed',
  failed: end => end['code'] === 'timed-out' ? 'time-over' : 'endpoint-failed',
  abandoned: () => 'caller-left'
}

function unquoted (value: string): string {
  if (!value.startsWith('"')) return value
  try {
    return String(JSON.parse(value))
  } catch {
    // A line that was cut off within a value is still worth showing.
    return value.slice(1)
  }
}

function hostOf (address: string | undefined): string { return address?.split(':')[0] ?? '' }
