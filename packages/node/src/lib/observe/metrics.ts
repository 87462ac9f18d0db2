/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Formats counters and percentiles in the Prometheus text format. The library is loaded on the first request, so that it
 * takes no memory in a process that is not scraped.
 */
import { readUsage } from './cost.js'
import type { Histograms } from './histograms.js'
import { percentileOf } from './histograms.js'

/** The counters of one process, by their stable names. */
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
 * Returns the metrics of a process in the Prometheus text format.
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
  for (const [name, value] of Object.entries(readUsage())) {
    new Gauge({ name: `drumdrift_${name}`, help: `Use of resources: ${name.replaceAll('_', ' ')}`, registers: [registry] }).set(value)
  }
  const latency = new Gauge({
    name: 'drumdrift_milliseconds', help: 'Percentiles of the measured times', labelNames: ['measure', 'organisation', 'class', 'percentile'], registers: [registry]
  })
  for (const { measure, organisation, requestClass, histogram } of histograms.all()) {
    for (const percentile of PERCENTILES) latency.set({ measure, organisation, class: requestClass, percentile: `${percentile}` }, percentileOf(histogram, percentile))
  }
  return await registry.metrics()
}
