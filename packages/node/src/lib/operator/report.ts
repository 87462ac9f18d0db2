/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Implements the `report` command: merges the histograms of several entries and prints percentiles as key=value lines,
 * optionally with a plot of the distributions.
 */
import { readFileSync, writeFileSync } from 'node:fs'
import type { Histogram } from 'hdr-histogram-js'
import { mergeHistogram, newHistogram, percentileOf } from '../observe/histograms.js'
import { formatPairs } from '../observe/log.js'
import { requestHttp } from '../platform/http-client.js'
import { plotPercentiles, type PlotSeries } from './plot.js'

interface EncodedSeries {
  readonly measure: string
  readonly organisation: string
  readonly requestClass: string
  readonly histogram: string
}

const PERCENTILES = [50, 95, 99, 100] as const
/** Percentiles of a plotted curve, from the median to the slowest one in ten thousand. */
const PLOTTED_PERCENTILES = [50, 75, 90, 95, 98, 99, 99.5, 99.9, 99.99] as const

/**
 * Prints the report, and writes the plot if a file is given.
 *
 * @example
 * await report({ entries: '10.0.0.2:8080,10.0.0.3:8080', keyFile: 'operator.key', plot: 'report.svg' })
 */
export async function report (options: { entries: string, keyFile: string, plot?: string }): Promise<void> {
  const key = readFileSync(options.keyFile, 'utf8').trim()
  const merged = new Map<string, { series: EncodedSeries, histogram: Histogram }>()
  for (const entry of options.entries.split(',')) {
    for (const series of await fetchHistograms(entry.trim(), key)) {
      const name = `${series.measure} ${series.organisation} ${series.requestClass}`
      const known = merged.get(name) ?? { series, histogram: newHistogram() }
      merged.set(name, known)
      await mergeHistogram(known.histogram, series.histogram)
    }
  }
  for (const { series, histogram } of merged.values()) process.stdout.write(`${formatSeries(series, histogram)}\n`)
  if (options.plot !== undefined) await writePlot(options.plot, [...merged.values()])
}

async function fetchHistograms (entry: string, key: string): Promise<EncodedSeries[]> {
  const answer = await requestHttp(entry, { path: '/operator/histograms', headers: { authorization: `Bearer ${key}` } })
  if (answer.status !== 200) {
    process.stdout.write(`${formatPairs({ event: 'unseen', entry, status: answer.status })}\n`)
    return []
  }
  return JSON.parse(answer.body.toString('utf8')) as EncodedSeries[]
}

function formatSeries ({ measure, organisation, requestClass }: EncodedSeries, histogram: Histogram): string {
  const percentiles = Object.fromEntries(PERCENTILES.map(percentile => [`p${percentile}_milliseconds`, percentileOf(histogram, percentile)]))
  return formatPairs({ event: 'report', measure, organisation, class: requestClass, count: histogram.totalCount, ...percentiles })
}

async function writePlot (file: string, merged: readonly { series: EncodedSeries, histogram: Histogram }[]): Promise<void> {
  const plotted: PlotSeries[] = merged
    .filter(({ series }) => series.measure === 'whole-answer' || series.measure === 'first-token')
    .map(({ series, histogram }) => ({
      measure: series.measure,
      name: `${series.organisation} ${series.requestClass}`,
      points: PLOTTED_PERCENTILES.map(percentile => ({ percentile, milliseconds: percentileOf(histogram, percentile) }))
    }))
  writeFileSync(file, await plotPercentiles(plotted))
}
