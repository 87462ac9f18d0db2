/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Monitors a rollout: prints the progress in each availability zone, a forecast of the time until all agents serve, and
 * which agents are stuck and why. All data comes from the status reports of the agents.
 */
import { readFileSync } from 'node:fs'
import { setTimeout as pause } from 'node:timers/promises'
import { formatPairs } from '../observe/log.js'
import { requestHttp } from '../platform/http-client.js'

const POLL_INTERVAL_MILLISECONDS = 500
/** A rollout without progress for this long is reported as stuck, in milliseconds. */
const STUCK_AFTER_MILLISECONDS = 15_000

interface Row {
  readonly instance: string
  readonly zone: string
  readonly state: string
  readonly percent: number
  readonly lifecycle: string
  readonly detail: string
}

/**
 * Prints the progress of a rollout until all live agents of a pool serve or the time limit passes.
 *
 * @returns The exit code: 0 if all agents serve, 1 if the time limit passed.
 * @example
 * await watchRollout('drafting', { entry: '10.0.0.2:8080', keyFile: 'operator.key', seconds: '600' })
 */
export async function watchRollout (pool: string, options: { entry: string, keyFile: string, seconds: string }): Promise<number> {
  const key = readFileSync(options.keyFile, 'utf8').trim()
  const startedAt = performance.now()
  let highestProgress = 0
  let progressedAt = startedAt
  while (performance.now() - startedAt < Number(options.seconds) * 1000) {
    const rows = (await fetchAgents(pool, options.entry, key)).filter(row => row.lifecycle === 'serving')
    const progress = rows.reduce((sum, row) => sum + progressOf(row), 0) / Math.max(1, rows.length)
    const now = performance.now()
    if (progress > highestProgress) progressedAt = now
    highestProgress = Math.max(highestProgress, progress)
    printProgress(rows, progress, now - startedAt)
    if (rows.length > 0 && rows.every(row => row.state === 'serving')) return 0
    if (now - progressedAt > STUCK_AFTER_MILLISECONDS) printStuck(rows, now - progressedAt)
    await pause(POLL_INTERVAL_MILLISECONDS)
  }
  return 1
}

async function fetchAgents (pool: string, entry: string, key: string): Promise<Row[]> {
  const answer = await requestHttp(entry, {
    method: 'POST', path: '/operator/ask?format=json', body: `show agents where pool = ${pool}`, headers: { authorization: `Bearer ${key}` }, timeout: 5_000
  })
  const lines = answer.body.toString('utf8').split('\n').filter(line => line.startsWith('{'))
  return lines.map(line => JSON.parse(line) as Row)
}

/** Estimates an agent's share of the rollout: fetching is nine tenths of it, the switch is the last tenth. */
function progressOf (row: Row): number {
  if (row.state === 'serving') return 1
  return 0.9 * row.percent / 100
}

function printProgress (rows: readonly Row[], progress: number, elapsed: number): void {
  const zones = [...new Set(rows.map(row => row.zone))].sort()
  for (const zone of zones) {
    const zoneRows = rows.filter(row => row.zone === zone)
    const serving = zoneRows.filter(row => row.state === 'serving').length
    const percent = Math.round(zoneRows.reduce((sum, row) => sum + row.percent, 0) / zoneRows.length)
    print({ event: 'rollout', zone, serving, of: zoneRows.length, fetched_percent: percent })
  }
  const remaining = progress > 0 && progress < 1 ? Math.round(elapsed * (1 - progress) / progress) : 0
  print({ event: 'rollout', zone: 'all', serving: rows.filter(row => row.state === 'serving').length, of: rows.length, forecast_milliseconds: progress > 0 ? remaining : 'unknown' })
}

function printStuck (rows: readonly Row[], stalledMilliseconds: number): void {
  for (const row of rows.filter(candidate => candidate.state !== 'serving')) {
    print({ event: 'stuck', instance: row.instance, zone: row.zone, state: row.state, percent: row.percent, on: row.detail, since_milliseconds: Math.round(stalledMilliseconds) })
  }
}

function print (fields: Parameters<typeof formatPairs>[0]): void {
  process.stdout.write(`${formatPairs(fields)}\n`)
}
