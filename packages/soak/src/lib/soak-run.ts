/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Runs one soak: a deployment under load, the faults drawn from the seed, and the result. */
import { monitorEventLoopDelay } from 'node:perf_hooks'
import { setTimeout as pause } from 'node:timers/promises'
import { seededRandom } from '@drumdrift/stand-ins'
import type { LogFields } from 'drumdrift'
import { Callers } from './callers.js'
import { Deployment } from './deployment.js'
import { faultHandlers } from './fault-handlers.js'
import { drawPlan, type TargetKind, type PlannedFault } from './fault-plan.js'
import { crowdTargetOf, type Disturbance, type Journal } from './journal.js'
import { countExplained, judge, type Violation } from './promises.js'
import type { SoakOptions } from './soak-options.js'
import { findStop } from './whole-answers.js'

const MILLISECONDS_PER_MINUTE = 60_000
/** Time under load before the first fault, in milliseconds. */
const WARM_UP_MILLISECONDS = 2_000
/** Time under load after the last fault, in milliseconds. */
const CALM_MILLISECONDS = 8_000
const NANOSECONDS_PER_MILLISECOND = 1e6
/** Number of random numbers that are discarded. */
const DISCARDED_NUMBERS = 20

type Print = (fields: LogFields) => void

/** Returns the target of a fault from those of its kind. */
function pickTarget<Target> (targets: readonly Target[], { targetPosition }: PlannedFault): Target | undefined { return targets[Math.floor(targetPosition * targets.length)] }

/** Name of the target of a fault. */
const targetNames: Record<TargetKind, (deployment: Deployment, fault: PlannedFault) => string> = {
  entry: ({ entries }, fault) => pickTarget(entries, fault)?.instance ?? '',
  endpoint: ({ endpoints }, fault) => pickTarget(endpoints, fault)?.name ?? '',
  engine: ({ engines }, fault) => pickTarget(engines, fault)?.name ?? '',
  staging: ({ engines }, fault) => `staging-of-${pickTarget(engines, fault)?.name}`,
  // A target of its own, so that a crowd excuses nothing at its entry. Its own requests are not recorded, so their refusals count for nothing.
  crowd: ({ entries }, fault) => crowdTargetOf(pickTarget(entries, fault)?.instance ?? ''),
  engines: () => 'engines',
  agent: ({ agents }, fault) => pickTarget(agents, fault)?.instance ?? '',
  store: () => 'store',
  links: () => 'links',
  versions: () => 'versions',
  origin: () => 'origin',
  operator: () => 'operator'
}

/**
 * Runs one soak.
 *
 * @param print Called for each fault, each broken promise and the result.
 * @returns Whether every promise was kept.
 * @example
 * const kept = await runSoak(options, fields => log.info('soak', fields))
 */
export async function runSoak (options: SoakOptions, print: Print): Promise<boolean> {
  const deployment = new Deployment()
  const lag = monitorEventLoopDelay()
  lag.enable()
  let passed = false
  try {
    const failure = await deployment.start(options.processes)
    if (failure !== undefined) {
      print({ event: 'not-started', reason: failure.type, detail: failure.detail, logs: deployment.directory })
      return false
    }
    const journal = await runFaults(deployment, options, print)
    const violations = judge(journal)
    passed = violations.length === 0
    report(journal, violations, options, lag.max / NANOSECONDS_PER_MILLISECOND, print)
    if (!passed) print({ event: 'logs-kept', directory: deployment.directory, times_count_from: new Date(performance.timeOrigin).toISOString() })
    return passed
  } finally {
    await deployment.close(!passed)
  }
}

async function runFaults (deployment: Deployment, { seed, minutes, rate, pause: meanPause, faults }: SoakOptions, print: Print): Promise<Journal> {
  const random = discardFirstNumbers(seededRandom(seed))
  const plan = drawPlan(random, { length: minutes * MILLISECONDS_PER_MINUTE, pause: meanPause, faults })
  const callers = new Callers(deployment, random)
  callers.start(rate)
  await pause(WARM_UP_MILLISECONDS)
  const disturbances = await injectFaults(deployment, plan, print)
  const calmFrom = performance.now()
  await pause(CALM_MILLISECONDS)
  const unready = deployment.entries.filter(({ ready }) => !ready).map(({ instance }) => instance)
  const outdated = deployment.engines.filter(({ worker }) => worker.version !== deployment.versions.length).map(({ name }) => name)
  await callers.stop()
  await deployment.stop()
  return {
    calls: callers.records,
    arrivals: deployment.endpoints.flatMap(({ arrivals }) => arrivals),
    departures: deployment.departures,
    configurations: deployment.configurations,
    versions: deployment.versions,
    loads: deployment.endpoints.flatMap(({ loads }) => loads),
    disturbances,
    processExits: deployment.daemons.flatMap(({ exits }) => exits),
    faultsEndedAt: calmFrom,
    unready,
    outdated
  }
}

/** Discards the first random numbers, which are similar for neighbouring seeds. */
function discardFirstNumbers (random: () => number): () => number {
  for (let count = 0; count < DISCARDED_NUMBERS; count += 1) random()
  return random
}

async function injectFaults (deployment: Deployment, plan: readonly PlannedFault[], print: Print): Promise<Disturbance[]> {
  const startedAt = performance.now()
  const disturbances: Disturbance[] = []
  const busy = new Map<string, Promise<void>>()
  for (const fault of plan) {
    await pause(Math.max(0, startedAt + fault.at - performance.now()))
    const target = targetNames[fault.targetKind](deployment, fault)
    // Faults of one target do not overlap, except that a fault of its link, a pause or late writes may overlap with another of the target itself.
    const part = `${target}/${/^entry-paused|^engines?-silent|^writes-held|^.*-way-/.exec(fault.kind)?.[0]}`
    if (busy.has(part)) continue
    print({ event: 'fault', kind: fault.kind, target, at: Math.round(performance.now()) })
    const disturbance = { kind: fault.kind, target, from: performance.now(), to: Infinity }
    disturbances.push(disturbance)
    const recovery = injectFault(deployment, fault).then(() => {
      disturbance.to = performance.now()
      busy.delete(part)
    })
    busy.set(part, recovery)
  }
  await Promise.all(busy.values())
  return disturbances
}

async function injectFault (deployment: Deployment, fault: PlannedFault): Promise<void> {
  const { entries, seedLinks, endpoints, engines, agents } = deployment
  const entry = pickTarget(entries, fault)
  const seedLink = pickTarget(seedLinks, fault)
  const endpoint = pickTarget(['engine', 'staging'].includes(fault.targetKind) ? engines : endpoints, fault)
  const agent = pickTarget(agents, fault)
  if (entry === undefined || seedLink === undefined || endpoint === undefined || agent === undefined) return
  await faultHandlers[fault.kind]({ deployment, fault, entry, seedLink, endpoint, agent })
}

function report (journal: Journal, violations: readonly Violation[], options: SoakOptions, longestPause: number, print: Print): void {
  const { calls, arrivals, versions, loads, disturbances } = journal
  const slowReaders = calls.filter(({ reading }) => reading !== undefined)
  const ages = agesOfOlderVersions(journal)
  for (const { promise, at, detail } of violations) print({ event: 'broken', promise, at: Math.round(at), detail })
  const count = (matches: (status: number, complete: boolean) => boolean): number => calls.filter(({ answer }) => matches(answer.status, answer.whole)).length
  print({
    event: 'soak',
    seed: options.seed,
    sets: options.faults.join(','),
    minutes: options.minutes,
    processes: options.processes,
    faults: disturbances.length,
    calls: calls.length,
    served: count((status, complete) => status === 200 && complete),
    refused: count(status => status === 503),
    failed: count(status => status >= 500 && status !== 503),
    cut: count((status, complete) => status === 0 || !complete),
    explained: Object.entries(countExplained(journal)).map(([explanation, calls]) => `${explanation} ${calls}`).join(', '),
    read_slowly: slowReaders.length,
    read_slowly_around_stops: slowReaders.filter(call => findStop(journal, call) !== undefined).length,
    arrivals: arrivals.length,
    versions: versions.length,
    loads: loads.length,
    begun_on_older: ages.length,
    latest_on_older_milliseconds: Math.round(Math.max(0, ...ages)),
    longest_pause_milliseconds: Math.round(longestPause),
    broken: violations.length,
    result: violations.length === 0 ? 'pass' : 'fail'
  })
}

/** Returns how long ago a newer version had been published, in milliseconds, for each request that began on an older one. */
function agesOfOlderVersions ({ arrivals, versions }: Journal): number[] {
  return arrivals.filter(({ service, ran }) => service === 'pool' && ran).flatMap(({ begunAt, version }) => {
    const newer = versions.find(named => named.version > version && named.at < begunAt)
    return newer === undefined ? [] : [begunAt - newer.at]
  })
}
