/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Checks the answers that callers received against the journals of the endpoints. */
import type { HostReply } from '@drumdrift/stand-ins'
import type { CallRecord } from './callers.js'

/** Counts the runs of each request id over all plain services. */
export function runsById (plains: HostReply['plains']): ReadonlyMap<string, number> {
  const runs = new Map<string, number>()
  for (const plain of plains) for (const [id, count] of Object.entries(plain.runs)) runs.set(id, (runs.get(id) ?? 0) + count)
  return runs
}

/** Counts the request ids that ran although every attempt was answered with "not run". */
export function countFalseNotRun (records: readonly CallRecord[], runs: ReadonlyMap<string, number>): number {
  const mayHaveRun = new Map<string, number>()
  for (const record of records) {
    const attempts = record.result === 'refused' ? 0 : 1
    mayHaveRun.set(record.id, (mayHaveRun.get(record.id) ?? 0) + attempts)
  }
  return [...mayHaveRun].filter(([id, attempts]) => (runs.get(id) ?? 0) > 0 && attempts === 0).length
}
