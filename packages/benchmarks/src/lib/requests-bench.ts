/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Compares an entry and its agents with a bare forwarder, in the same run and with the same engines. */
import { fork, spawn, type ChildProcess } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { setTimeout as pause } from 'node:timers/promises'
import { freePorts } from '@drumdrift/stand-ins'
import { printFigures, quantile, twoDecimals, type BenchOptions } from './bench-options.js'
import { startServing } from './load.js'
import { processorMilliseconds } from './process-reading.js'

const WORKERS = 4
const SLOTS = 64
const TOKENS = 32
const TIMES = { load: 100, firstToken: 5, cachedFirstToken: 5, betweenTokens: 5, reportLag: 300 }
const LOADERS = 3
const CONCURRENT_CALLS = 48
const WARM_UP_SECONDS = 3

interface Result {
  readonly firsts: number[]
  readonly failed: number
}

type LoadOrder = { readonly address: string, readonly concurrency: number, readonly callsPerSecond: number, readonly seconds: number, readonly tokens: number }

/** Measures throughput at full load, and the time to the first token at half the throughput of the slower target. */
export async function requestsBench (options: BenchOptions): Promise<boolean> {
  const { fleet } = await startServing({ entries: 1, workers: WORKERS, slots: SLOTS, organisations: { 'hall-1': 1 }, engineTimes: TIMES }, options.seed)
  const [port = 0] = await freePorts(1)
  const engines = fleet.agents.map(member => String(member.endpointPort))
  const forwarder = spawn(process.execPath, [fileURLToPath(new URL('../bare-forwarder.js', import.meta.url)), String(port), ...engines], { stdio: 'inherit' })
  const loaders = Array.from({ length: LOADERS }, () => fork(fileURLToPath(new URL('../load-worker.js', import.meta.url))))
  await pause(1_000)
  const targets = [
    { name: 'forwarder', address: `127.0.0.1:${port}`, pid: forwarder.pid ?? 0 },
    { name: 'entry', address: fleet.entries[0]?.httpAddress ?? '', pid: fleet.entries[0]?.process?.pid ?? 0 }
  ]
  const fullRates = new Map<string, number>()
  for (const target of targets) {
    const closed = { address: target.address, concurrency: CONCURRENT_CALLS, callsPerSecond: 0, tokens: TOKENS }
    await runLoaders(loaders, { ...closed, seconds: WARM_UP_SECONDS })
    const before = processorMilliseconds(target.pid)
    const result = await runLoaders(loaders, { ...closed, seconds: options.seconds })
    const processor = processorMilliseconds(target.pid) - before
    const perSecond = result.firsts.length / options.seconds
    fullRates.set(target.name, perSecond)
    printFigures('requests', {
      what: target.name, load: 'full', requests_per_second: twoDecimals(perSecond), failed: result.failed, tokens_per_processor_second: Math.round(result.firsts.length * TOKENS / processor * 1000), processor_share: twoDecimals(processor / options.seconds / 1000)
    })
  }
  const halfRate = (fullRates.get('forwarder') ?? 0) / 2 * Math.min(1, (fullRates.get('entry') ?? 0) / (fullRates.get('forwarder') ?? 1))
  const firsts = new Map<string, number[]>()
  for (const target of targets) {
    const result = await runLoaders(loaders, { address: target.address, concurrency: 0, callsPerSecond: halfRate / LOADERS, seconds: options.seconds, tokens: TOKENS })
    firsts.set(target.name, result.firsts)
    printFigures('requests', { what: target.name, load: 'half', requests_per_second: twoDecimals(halfRate), failed: result.failed, first_50: formatQuantile(result.firsts, 0.5), first_95: formatQuantile(result.firsts, 0.95), first_99: formatQuantile(result.firsts, 0.99) })
  }
  const added = (share: number): string => twoDecimals(quantile(firsts.get('entry') ?? [], share) - quantile(firsts.get('forwarder') ?? [], share))
  printFigures('requests', { what: 'ratio', throughput_ratio: twoDecimals((fullRates.get('entry') ?? 0) / (fullRates.get('forwarder') ?? 1)), added_first_50_milliseconds: added(0.5), added_first_95_milliseconds: added(0.95), added_first_99_milliseconds: added(0.99) })
  for (const loader of loaders) loader.disconnect()
  forwarder.kill()
  await fleet.stop()
  return (fullRates.get('entry') ?? 0) > 0
}

async function runLoaders (loaders: readonly ChildProcess[], order: LoadOrder): Promise<Result> {
  const share = { ...order, concurrency: Math.ceil(order.concurrency / loaders.length) }
  const results = await Promise.all(loaders.map(async loader => await new Promise<Result>(resolve => {
    loader.once('message', resolve)
    loader.send(share)
  })))
  return { firsts: results.flatMap(result => result.firsts), failed: results.reduce((sum, result) => sum + result.failed, 0) }
}

function formatQuantile (values: readonly number[], share: number): string { return twoDecimals(quantile(values, share)) }
