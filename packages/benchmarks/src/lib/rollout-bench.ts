/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Measures a rollout with real agents on links of limited bandwidth: the time until all engines serve the version, against the lower
 * bound set by the links, and the bytes read from the origin.
 */
import { setTimeout as pause } from 'node:timers/promises'
import { defaultEngineTimes, generateVersion, type GeneratedVersion } from '@drumdrift/stand-ins'
import { printFigures, quantile, seededRandom, twoDecimals, type BenchOptions } from './bench-options.js'
import { Fleet, type Member } from './fleet.js'

const CHUNKS = 128
const CHUNK_BYTES = 128 * 1024
const MEBIBYTE = 1024 * 1024
const ZONES = ['bagmati', 'gandaki', 'koshi'] as const
const LOAD_MILLISECONDS = 20
/** When the faults are injected, as a share of the lower bound. */
const FAULT_TIME_SHARE = 0.3
/** The timeout, as a multiple of the lower bound. */
const TIMEOUT_FACTOR = 40
/** The bandwidth of a link by fleet size. Links are slower in larger fleets, so that one machine can carry their total traffic. */
const linkRates: readonly (readonly [endpoints: number, megabytesPerSecond: number])[] = [[32, 2], [128, 1], [256, 0.5]]

/** Measures the selected strategy, and the baselines unless they are disabled. */
export async function rolloutBench (options: BenchOptions): Promise<boolean> {
  const strategies = options.baselines ? [options.strategy, 'rendezvous', 'tree', 'origin'] : [options.strategy]
  let good = true
  for (const strategy of new Set(strategies)) good = await measureRollout(options, strategy) && good
  return good
}

async function measureRollout (options: BenchOptions, strategy: string): Promise<boolean> {
  const link = linkRates.find(([endpoints]) => options.endpoints <= endpoints)?.[1] ?? 0.5
  const fleet = await startFleet(options, strategy, link)
  const version = generateVersion({ model: 'chat', version: 'v1', chunks: CHUNKS, chunkBytes: CHUNK_BYTES, seed: options.seed })
  fleet.addVersion(version)
  fleet.publish({})
  fleet.publishInstances()
  await fleet.startAll()
  if (!await fleet.waitUntilUp(60_000)) throw new Error('the fleet did not start in time')
  await pause(1_500)
  const bound = CHUNKS * CHUNK_BYTES / (link * MEBIBYTE) * 1000
  const startedAt = Date.now()
  fleet.publish({
    models: { chat: { versions: { v1: version.digest } } },
    pools: { drafting: { model: 'chat', version: 'v1', switchFraction: 1, slots: 8, originCopies: options.originCopies } }
  })
  const killed = await injectFaults(fleet, options, bound)
  const live = fleet.agents.filter(member => !killed.has(member))
  const served = await timesToServe(fleet, live, version, startedAt, bound * TIMEOUT_FACTOR)
  const { engines } = await fleet.journals()
  const times = served.filter(time => time > 0)
  printFigures('rollout', {
    strategy,
    endpoints: options.endpoints,
    seed: options.seed,
    window: options.window,
    kill: options.kill,
    stall: options.stall,
    corrupt: options.corrupt,
    served: times.length,
    of: live.length,
    time_ratio: twoDecimals(Math.max(...times) / bound),
    time_ratio_95: twoDecimals(quantile(times, 0.95) / bound),
    lower_bound_milliseconds: Math.round(bound),
    origin_copies: twoDecimals((fleet.origin.bytes + fleet.store.bytes) / version.manifest.bytes),
    allowed_origin_copies: options.originCopies,
    megabytes: CHUNKS * CHUNK_BYTES / MEBIBYTE,
    partial_loads: engines.reduce((sum, engine) => sum + engine.journal.partialLoads, 0),
    corrupted: fleet.agents.reduce((sum, member) => sum + (member.relay?.corruptedBlocks ?? 0), 0)
  })
  await fleet.stop()
  return times.length === live.length
}

async function startFleet (options: BenchOptions, strategy: string, link: number): Promise<Fleet> {
  return await Fleet.prepare({
    availabilityZones: ZONES,
    entriesPerZone: 0,
    endpoints: Array.from({ length: options.endpoints }, (_, index) => ({ name: 'drafting', kind: 'model', availabilityZone: ZONES[index % ZONES.length] ?? '' })),
    linkMegabytesPerSecond: link,
    // The origin's link has twice the bandwidth of an instance's: it carries four copies while that carries two.
    originMegabytesPerSecond: 2 * link,
    hosts: Math.max(1, Math.ceil(options.endpoints / 24)),
    engineTimes: { ...defaultEngineTimes, load: LOAD_MILLISECONDS },
    relays: options.stall + options.corrupt > 0,
    settings: [['weights', 'strategy', strategy], ['weights', 'window', String(options.window)], ['process', 'log-level', 'warn']]
  })
}

/** Kills, stalls and corrupts disjoint sets of agents, drawn from the seed. Returns the killed agents. */
async function injectFaults (fleet: Fleet, options: BenchOptions, bound: number): Promise<ReadonlySet<Member>> {
  const random = seededRandom(options.seed)
  const drawn = [...fleet.agents].map(member => ({ member, order: random() })).sort((left, right) => left.order - right.order).map(({ member }) => member)
  const killed = new Set(drawn.splice(0, options.kill))
  const stalled = drawn.splice(0, options.stall)
  const corrupt = drawn.splice(0, options.corrupt)
  for (const member of corrupt) member.relay?.set('corrupt', 8)
  if (options.kill + options.stall === 0) return killed
  await pause(bound * FAULT_TIME_SHARE)
  for (const member of killed) fleet.signal(member, 'SIGKILL')
  for (const member of stalled) member.relay?.set('stall')
  return killed
}

/** Returns the milliseconds until each member's engine served the version, or 0 for an engine that did not within the timeout. */
async function timesToServe (fleet: Fleet, members: readonly Member[], version: GeneratedVersion, startedAt: number, timeout: number): Promise<number[]> {
  const ports = new Set(members.map(member => member.endpointPort))
  let times: number[] = []
  await fleet.waitUntil(async () => {
    const { engines } = await fleet.journals()
    times = engines.filter(engine => ports.has(engine.port)).map(engine => {
      const load = engine.journal.loads.find(candidate => candidate.manifest === version.digest && candidate.whole)
      return load === undefined ? 0 : load.at - startedAt
    })
    await pause(200)
    return times.every(time => time > 0)
  }, timeout)
  return times
}
