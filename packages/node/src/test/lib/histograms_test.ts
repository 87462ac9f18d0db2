/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { encodeHistogram, Histograms, mergeHistogram, newHistogram, percentileOf } from '../../lib/observe/histograms.js'
import { Counters, metricsText } from '../../lib/observe/metrics.js'

const name = { measure: 'first-token', organisation: 'hall-1', requestClass: 'interactive' } as const

describe('Histograms', () => {
  it('keeps percentiles by organisation and class, with two significant digits', () => {
    const histograms = new Histograms()
    for (let value = 1; value <= 1_000; value += 1) histograms.record(name, value)
    const median = histograms.percentile(name, 50) ?? 0
    assert.ok(Math.abs(median - 500) <= 10, `${median}`)
    assert.equal(histograms.percentile({ ...name, organisation: 'hall-2' }, 50), undefined)
  })
  it('limits the number of histograms: further organisations share one', () => {
    const histograms = new Histograms()
    for (let index = 0; index < 1_000; index += 1) histograms.record({ ...name, organisation: `o-${index}` }, 1)
    assert.ok(histograms.all().length <= 257)
    assert.ok(histograms.all().some(series => series.organisation === 'other'))
  })
  it('accepts values out of range', () => {
    const histograms = new Histograms()
    for (const value of [-5, 0, 1e12, 0.04]) histograms.record(name, value)
    assert.equal(histograms.all()[0]?.histogram.totalCount, 4)
  })
  it('merges encoded histograms', async () => {
    const histograms = new Histograms()
    histograms.record(name, 20)
    const merged = newHistogram()
    const encoded = await encodeHistogram(histograms.all()[0]?.histogram ?? newHistogram())
    await mergeHistogram(merged, encoded)
    await mergeHistogram(merged, encoded)
    assert.equal(merged.totalCount, 2)
    assert.ok(Math.abs(percentileOf(merged, 50) - 20) < 0.5)
  })
  it('is exported with what the process has used', async () => {
    const text = await metricsText(new Counters(), new Histograms())
    for (const figure of ['processor_user_milliseconds', 'processor_system_milliseconds', 'event_loop_wakes', 'resident_bytes']) assert.match(text, new RegExp(`^drumdrift_${figure} [0-9]+$`, 'm'))
  })
  it('is exported in the Prometheus text format', async () => {
    const histograms = new Histograms()
    const counters = new Counters()
    histograms.record(name, 20)
    counters.add('answers_whole', 3)
    const text = await metricsText(counters, histograms)
    assert.match(text, /drumdrift_answers_whole 3/)
    assert.match(text, /drumdrift_milliseconds\{measure="first-token",organisation="hall-1",class="interactive",percentile="95"\} 20/)
  })
})
