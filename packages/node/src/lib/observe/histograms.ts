/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Histograms by organisation and request class, in milliseconds. Their number is bounded: beyond the limit, new
 * organisations share a histogram called "other", so that callers cannot increase the memory of a process.
 */
import type { Histogram } from 'hdr-histogram-js'
// The library's main module also loads a WebAssembly implementation, which is not used here and takes 9 MB in every daemon.
import { constructorFromBucketSize } from 'hdr-histogram-js/dist/JsHistogramFactory.js'

/** The measured quantities. */
export type Measure = 'queueing' | 'first-token' | 'between-tokens' | 'whole-answer' | 'refusal' | 'transfer' | 'time-to-serve' | 'connection-opening'

/** Identifies one histogram. */
export interface SeriesName {
  readonly measure: Measure
  readonly organisation: string
  readonly requestClass: string
}

/** One histogram with its name. */
export interface Series extends SeriesName {
  readonly histogram: Histogram
}

const MAX_SERIES = 256
/** Values are recorded in tenths of a millisecond, up to one hour, with two significant digits. */
const UNITS_PER_MILLISECOND = 10
const MAX_VALUE = 36_000_000
const SIGNIFICANT_DIGITS = 2

/** The histograms of one process. */
export class Histograms {
  private readonly _series = new Map<string, Series>()

  /**
   * Records one measurement.
   *
   * @param milliseconds Negative values are recorded as zero, values above one hour as one hour.
   * @example
   * histograms.record({ measure: 'first-token', organisation: 'hall-1', requestClass: 'interactive' }, 42.5)
   */
  record (name: SeriesName, milliseconds: number): void {
    const value = Math.min(MAX_VALUE, Math.max(0, Math.round(milliseconds * UNITS_PER_MILLISECOND)))
    this._seriesFor(name).histogram.recordValue(value)
  }

  /** Returns all histograms. */
  all (): Series[] { return [...this._series.values()] }

  /** Returns a percentile in milliseconds, or `undefined` if nothing was recorded. */
  percentile (name: SeriesName, percentile: number): number | undefined {
    const series = this._series.get(keyOf(name))
    return series === undefined ? undefined : series.histogram.getValueAtPercentile(percentile) / UNITS_PER_MILLISECOND
  }

  private _seriesFor (name: SeriesName): Series {
    const known = this._series.get(keyOf(name))
    if (known !== undefined) return known
    const other = { ...name, organisation: 'other' }
    const seriesName = this._series.size >= MAX_SERIES ? other : name
    const series = this._series.get(keyOf(seriesName)) ?? { ...seriesName, histogram: newHistogram() }
    this._series.set(keyOf(seriesName), series)
    return series
  }
}

/** Creates an empty histogram. All have the same parameters, so that any two can be merged. */
export function newHistogram (): Histogram {
  const Constructor = constructorFromBucketSize(32)
  return new Constructor(1, MAX_VALUE, SIGNIFICANT_DIGITS)
}

/** Returns a percentile of a histogram in milliseconds. */
export function percentileOf (histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / UNITS_PER_MILLISECOND
}

/** Encodes a histogram as text, to be merged by another process. The codec is loaded on the first request of an operator. */
export async function encodeHistogram (histogram: Histogram): Promise<string> {
  const { encodeIntoCompressedBase64 } = await import('hdr-histogram-js')
  return encodeIntoCompressedBase64(histogram)
}

/**
 * Adds an encoded histogram to another one.
 *
 * @example
 * await mergeHistogram(total, series.histogram)
 */
export async function mergeHistogram (into: Histogram, encoded: string): Promise<void> {
  const { decodeFromCompressedBase64 } = await import('hdr-histogram-js')
  into.add(decodeFromCompressedBase64(encoded, 32, false))
}

function keyOf ({ measure, organisation, requestClass }: SeriesName): string {
  return `${measure}\n${organisation}\n${requestClass}`
}
