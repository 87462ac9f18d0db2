/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Plots percentiles as SVG with vega-lite. This module is loaded only if a plot is requested. */
import { compile, type TopLevelSpec } from 'vega-lite'
import { parse, View } from 'vega'

/** One curve of the plot. */
export interface PlotSeries {
  readonly measure: string
  readonly name: string
  readonly points: readonly { readonly percentile: number, readonly milliseconds: number }[]
}

/** Smaller values are plotted as this one, since a logarithmic axis has no zero. */
const MIN_MILLISECONDS = 0.1

/**
 * Plots percentiles on a logarithmic time axis, with one panel for each measure.
 *
 * @returns The SVG text.
 * @example
 * writeFileSync('report.svg', await plotPercentiles(series))
 */
export async function plotPercentiles (series: readonly PlotSeries[]): Promise<string> {
  const values = series.flatMap(({ measure, name, points }) => points.map(({ percentile, milliseconds }) => ({
    measure, series: name, percentile: String(percentile), milliseconds: Math.max(MIN_MILLISECONDS, milliseconds)
  })))
  const specification: TopLevelSpec = {
    $schema: 'https://vega.github.io/schema/vega-lite/v6.json',
    data: { values },
    facet: { column: { field: 'measure', title: null } },
    spec: {
      width: 420,
      height: 300,
      mark: { type: 'line', point: true },
      encoding: {
        x: { field: 'percentile', type: 'ordinal', sort: null, title: 'percentile' },
        y: { field: 'milliseconds', type: 'quantitative', scale: { type: 'log' }, title: 'milliseconds' },
        color: { field: 'series', type: 'nominal', title: 'organisation, class' }
      }
    }
  }
  const view = new View(parse(compile(specification).spec), { renderer: 'none' })
  return await view.toSVG()
}
