/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Measures the time until a configuration is in force in every process, and the reads from the platform's services, by fleet size. */
import { setTimeout as pause } from 'node:timers/promises'
import { printFigures, quantile, type BenchOptions } from './bench-options.js'
import type { Fleet } from './fleet.js'
import { plainConfiguration, preparePlainFleet } from './plain-fleet.js'

const SIZES = [12, 24, 48, 96, 192] as const
const ZONES = ['bagmati', 'gandaki', 'koshi'] as const
const CHANGES = 5
const CHANGE_INTERVAL_MILLISECONDS = 2_000
const POLL_INTERVAL_MILLISECONDS = 10
const TIMEOUT_MILLISECONDS = 20_000
/** The share of the fleet that starts while the configuration changes. */
const STARTING_SHARE = 0.1

/** Measures every fleet size. */
export async function configurationBench (options: BenchOptions): Promise<boolean> {
  let good = true
  for (const size of SIZES) good = await measure(size, options.seed) && good
  return good
}

async function measure (size: number, seed: number): Promise<boolean> {
  const fleet = await preparePlainFleet(size, ZONES)
  const late = fleet.agents.slice(0, Math.floor(size * STARTING_SHARE))
  const early = fleet.members.filter(member => !late.includes(member))
  for (const member of early) await fleet.start(member)
  const up = await fleet.waitUntilUp(60_000)
  await pause(3_000)
  const callsBefore = fleet.configuration.calls + fleet.instances.calls
  const startedAt = performance.now()
  const times: number[] = []
  let expected = 0
  for (let change = 0; change < CHANGES; change += 1) {
    const starting = late.splice(0, Math.ceil(size * STARTING_SHARE / CHANGES))
    for (const member of starting) await fleet.start(member)
    expected += fleet.members.filter(member => member.process !== undefined).length
    times.push(...await measureTimesInForce(fleet, fleet.publish(plainConfiguration)))
    await pause(CHANGE_INTERVAL_MILLISECONDS)
  }
  const seconds = (performance.now() - startedAt) / 1000
  const calls = fleet.configuration.calls + fleet.instances.calls - callsBefore
  printFigures('configuration', {
    processes: size,
    seed,
    changes: CHANGES,
    in_force_50_milliseconds: Math.round(quantile(times, 0.5)),
    in_force_99_milliseconds: Math.round(quantile(times, 0.99)),
    in_force_most_milliseconds: Math.round(Math.max(...times)),
    missing: expected - times.length,
    reads_per_second: (calls / seconds).toFixed(1),
    reads_per_second_and_process: (calls / seconds / size).toFixed(3)
  })
  await fleet.stop()
  return up && times.length === expected && times.every(time => time < 9_000)
}

/** Returns, for each running process, the milliseconds from the publication of a revision until it is in force there. */
async function measureTimesInForce (fleet: Fleet, revision: number): Promise<number[]> {
  const publishedAt = fleet.configuration.publishedAt.get(revision) ?? performance.now()
  const waiting = new Set(fleet.members.filter(member => member.process !== undefined))
  const times: number[] = []
  await fleet.waitUntil(async () => {
    await Promise.all([...waiting].map(async member => {
      const status = await fleet.status(member, 2_000)
      if (status === undefined || status.revisions.configuration < revision) return
      waiting.delete(member)
      times.push(performance.now() - publishedAt)
    }))
    await pause(POLL_INTERVAL_MILLISECONDS)
    return waiting.size === 0
  }, TIMEOUT_MILLISECONDS)
  return times
}
