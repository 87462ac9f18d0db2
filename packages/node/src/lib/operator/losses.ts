/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Counts lost requests, those that were not answered in time, by cause, by entry and by span of time, from the log lines
 * of several processes.
 */
import type { LogFields } from '../observe/log.js'
import { causeOf, type LogLine, type RequestCause } from './explain.js'

/** Numbers of requests in one group, by the cause of their result. */
export type CauseCounts = ReadonlyMap<RequestCause, number>

/** Numbers of requests, by cause, for all requests and by group. */
export interface LossTable {
  readonly all: CauseCounts
  /** By the entry that received the request. */
  readonly byEntry: ReadonlyMap<string, CauseCounts>
  /** By the start of the span in which the request arrived, in milliseconds since the Unix epoch. */
  readonly bySpan: ReadonlyMap<number, CauseCounts>
}

/** Causes that are not losses: the request was served in time or was not allowed, or its caller left. */
const notLossCauses: ReadonlySet<RequestCause> = new Set<RequestCause>(['in-time', 'not-allowed', 'caller-left'])

/**
 * Counts requests by cause. Each attempt of a caller is one request.
 *
 * @param span The length of a span, in milliseconds.
 * @example
 * const { all } = countLosses(lines, 2_000)
 */
export function countLosses (lines: readonly LogLine[], span: number): LossTable {
  const all = new Map<RequestCause, number>()
  const byEntry = new Map<string, Map<RequestCause, number>>()
  const bySpan = new Map<number, Map<RequestCause, number>>()
  for (const request of groupByRequest(lines)) {
    const [first] = request
    if (first === undefined) continue
    const cause = causeOf(request)
    increment(all, cause)
    increment(groupOf(byEntry, first.fields['instance'] ?? 'unknown'), cause)
    increment(groupOf(bySpan, Math.floor(first.time / span) * span), cause)
  }
  return { all, byEntry: sortGroups(byEntry), bySpan: sortGroups(bySpan) }
}

/** Returns the fields of the output lines. Causes are sorted by the number of requests, the most frequent first. */
export function lossLines ({ all, byEntry, bySpan }: LossTable): LogFields[] {
  const causes = [...all].filter(([cause]) => !notLossCauses.has(cause)).sort(([, left], [, right]) => right - left)
  return [
    { event: 'losses', ...summarise(all) },
    ...causes.map(([cause, requests]) => ({ event: 'losses-cause', cause, requests })),
    ...[...byEntry].map(([entry, counts]) => ({ event: 'losses-entry', entry, ...summarise(counts), ...lossFields(counts) })),
    ...[...bySpan].map(([from, counts]) => ({ event: 'losses-span', from: new Date(from).toISOString(), ...summarise(counts), ...lossFields(counts) }))
  ]
}

/** Groups lines by request, each group oldest first. */
function groupByRequest (lines: readonly LogLine[]): Iterable<readonly LogLine[]> {
  const requests = new Map<string, LogLine[]>()
  for (const line of lines) {
    const { id } = line.fields
    if (id === undefined || id === '') continue
    const known = requests.get(id)
    if (known === undefined) requests.set(id, [line])
    else known.push(line)
  }
  for (const request of requests.values()) request.sort((left, right) => left.time - right.time)
  return requests.values()
}

function summarise (counts: CauseCounts): { requests: number, lost: number } {
  let [requests, lost] = [0, 0]
  for (const [cause, count] of counts) {
    requests += count
    if (!notLossCauses.has(cause)) lost += count
  }
  return { requests, lost }
}

function lossFields (counts: CauseCounts): LogFields {
  return Object.fromEntries([...counts].filter(([cause]) => !notLossCauses.has(cause)).map(([cause, count]) => [cause.replaceAll('-', '_'), count]))
}

function groupOf<Key> (groups: Map<Key, Map<RequestCause, number>>, key: Key): Map<RequestCause, number> {
  const group = groups.get(key) ?? new Map<RequestCause, number>()
  groups.set(key, group)
  return group
}

function increment (counts: Map<RequestCause, number>, cause: RequestCause): void {
  counts.set(cause, (counts.get(cause) ?? 0) + 1)
}

function sortGroups<Key extends string | number> (groups: ReadonlyMap<Key, CauseCounts>): ReadonlyMap<Key, CauseCounts> {
  return new Map([...groups].sort(([left], [right]) => left < right ? -1 : 1))
}
