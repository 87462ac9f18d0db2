/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Serves counters and percentiles in the usual text format. The library is loaded at the first request for it, so
 * that a process that nobody scrapes does not hold it in memory.
 */
import type { Histograms } from './histograms.js'
import { percentileOf } from './histograms.js'

/** Counters of one process, by stable names. */
export class Counters {
  private readonly _counts = new Map<string, number>()

  /**
   * Adds to a counter.
   *
   * @example
   * counters.add('answers_whole')
   */
  add (name: string, count = 1): void {
    this._counts.set(name, (this._counts.get(name) ?? 0) + count)
  }

  get (name: string): number { return this._counts.get(name) ?? 0 }
  all (): ReadonlyMap<string, number> { return this._counts }
}

const PERCENTILES = [50, 95, 99] as const

/**
 * The metrics text of a process.
 *
 * @example
 * response.end(await metricsText(counters, histograms))
 */
export async function metricsText (counters: Counters, histograms: Histograms): Promise<string> {
  const { Gauge, Registry } = await import('prom-client')
  const registry = new Registry()
  for (const [name, count] of counters.all()) {
    new Gauge({ name: `drumdrift_${name}`, help: `Count of ${name.replaceAll('_', ' ')}`, registers: [registry] }).set(count)
  }
  const latency = new Gauge({
    name: 'drumdrift_milliseconds', help: 'Percentiles of what was measured', labelNames: ['measure', 'organisation', 'class', 'percentile'], registers: [registry]
  })
  for (const { measure, organisation, requestClass, histogram } of histograms.all()) {
    for (const percentile of PERCENTILES) latency.set({ measure, organisation, class: requestClass, percentile: `${percentile}` }, percentileOf(histogram, percentile))
  }
  return await registry.metrics()
}
