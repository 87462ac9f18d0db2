/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Measures the effect of a rollout on live requests, and the capacity that the pool keeps while its engines switch versions. */
import { setTimeout as pause } from 'node:timers/promises'
import { generateVersion } from '@drumdrift/stand-ins'
import { printFigures, seededRandom, twoDecimals, type BenchOptions } from './bench-options.js'
import { chatCalls, summariseCalls, generateLoad, startServing } from './load.js'

const WORKERS = 8
const SLOTS = 8
const TOKENS = 16
const TIMES = { load: 500, firstToken: 20, cachedFirstToken: 20, betweenTokens: 5, reportLag: 300 }
const CALLS_PER_SECOND = 120
const CHUNKS = 64
const CHUNK_BYTES = 256 * 1024
const LINK_MEGABYTES_PER_SECOND = 8
const CALM_SECONDS = 6
const POLL_INTERVAL_MILLISECONDS = 100

/** Measures request latency without and during a rollout. */
export async function rolloutUnderLoadBench (options: BenchOptions): Promise<boolean> {
  const { fleet, version, configuration } = await startServing({
    entries: 2, workers: WORKERS, slots: SLOTS, organisations: { 'hall-1': 1 }, engineTimes: TIMES, chunks: CHUNKS, chunkBytes: CHUNK_BYTES, linkMegabytesPerSecond: LINK_MEGABYTES_PER_SECOND
  }, options.seed)
  const next = generateVersion({ model: 'chat', version: 'v2', chunks: CHUNKS, chunkBytes: CHUNK_BYTES, seed: options.seed + 1 })
  fleet.addVersion(next)
  const calls = chatCalls(fleet, 'load', () => 'hall-1', TOKENS)
  const seconds = Math.max(options.seconds, 14)
  const load = generateLoad([{ seconds: CALM_SECONDS, callsPerSecond: CALLS_PER_SECOND }, { seconds, callsPerSecond: CALLS_PER_SECOND }], calls, seededRandom(options.seed))
  await pause(CALM_SECONDS * 1000)
  const startedAt = Date.now()
  fleet.publish({
    ...configuration,
    models: { chat: { versions: { v1: version.digest, v2: next.digest } } },
    pools: { drafting: { model: 'chat', version: 'v2', switchFraction: 0.25, slots: SLOTS, originCopies: 1 } }
  })
  let minimumServing = WORKERS
  const done = await fleet.waitUntil(async () => {
    const statuses = await Promise.all(fleet.agents.map(async member => await fleet.status(member)))
    minimumServing = Math.min(minimumServing, statuses.filter(status => status?.state !== 'switching' && status?.version !== '').length)
    await pause(POLL_INTERVAL_MILLISECONDS)
    return (await fleet.journals()).engines.every(engine => engine.version === next.digest)
  }, seconds * 1000)
  const rolloutMilliseconds = Date.now() - startedAt
  const [calm = [], rest = []] = await load
  const during = rest.filter(record => record.at < startedAt + rolloutMilliseconds)
  const [without, within] = [summariseCalls(calm), summariseCalls(during)]
  printFigures('rollout-under-load', {
    seed: options.seed,
    rollout_done: done,
    rollout_milliseconds: rolloutMilliseconds,
    workers: WORKERS,
    least_serving: minimumServing,
    first_95_without: without.firstBytePercentile95,
    first_95_during: within.firstBytePercentile95,
    ratio_95: twoDecimals(Number(within.firstBytePercentile95) / Number(without.firstBytePercentile95)),
    first_99_without: without.firstBytePercentile99,
    first_99_during: within.firstBytePercentile99,
    whole_without: twoDecimals(without.whole / Math.max(1, without.requests)),
    whole_during: twoDecimals(within.whole / Math.max(1, within.requests)),
    cut_during: within.cut,
    versions_seen: new Set(rest.map(record => record.version).filter(seen => seen !== '')).size
  })
  await fleet.stop()
  return done
}
