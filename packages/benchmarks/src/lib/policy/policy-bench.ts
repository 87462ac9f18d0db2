/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Compares engine selection policies in the simulated pool over many seeds, with an optional plot of worth against load. */
import { writeFileSync } from 'node:fs'
import { compile, type TopLevelSpec } from 'vega-lite'
import { parse, View } from 'vega'
import { printFigures, twoDecimals, type BenchOptions } from '../bench-options.js'
import { simulatePolicy, reportSchedules, type PolicyFigures, type PolicyRun, type SiteName, type ReportSchedule } from './policy-model.js'
import { policyNames, type PolicyName } from './policies.js'

/** Requests per second: a lightly loaded pool, the users' typical peak, and about the capacity of the simulated pool. */
const LOADS: Record<SiteName, readonly number[]> = { few: [60, 100, 130], crowded: [32, 40, 48], hundreds: [300, 375, 450], 'many-entries': [180, 220, 250] }
/** One run of a large site takes as long as this many runs of a small one and has as many requests, so large sites use fewer seeds. */
const LARGE_SITE_SEED_DIVISOR = 10
/** The policy that `of_baseline` ratios refer to. */
const BASELINE: PolicyName = 'least-connections'
/** The product's own policy. */
const PRODUCT: PolicyName = 'by-room'

interface PolicyPoint {
  readonly policy: PolicyName
  readonly load: number
  readonly worth: number
}

/** Runs each policy at each load. */
export async function policyBench ({ seed, seeds, plot }: BenchOptions): Promise<boolean> {
  const points: PolicyPoint[] = []
  for (const [site, load] of Object.entries(LOADS).flatMap(([name, loads]) => loads.map(load => [name as SiteName, load] as const))) {
    const results = new Map(policyNames.map(policy => [policy, meanFigures({ site, policy, perSecond: load, seed }, seedCount(site, seeds))]))
    const baseline = results.get(BASELINE)?.worth ?? Number.NaN
    for (const [policy, { worth, refused, late, firstTokenMedian, firstTokenP99 }] of results) {
      if (site === 'few') points.push({ policy, load, worth })
      printFigures('policy', {
        site, policy, load, seeds, worth: worth.toFixed(3), of_baseline: twoDecimals(worth / baseline), refused: refused.toFixed(3), late: late.toFixed(3), first_50_milliseconds: Math.round(firstTokenMedian), first_99_milliseconds: Math.round(firstTokenP99)
      })
    }
    compareReportSchedules({ site, policy: PRODUCT, perSecond: load, seed }, seedCount(site, seeds))
  }
  if (plot !== undefined) writeFileSync(plot, await plotWorth(points))
  return points.every(({ worth }) => worth > 0)
}

function seedCount (site: SiteName, seeds: number): number {
  return site === 'hundreds' || site === 'many-entries' ? Math.ceil(seeds / LARGE_SITE_SEED_DIVISOR) : seeds
}

/** Compares the load report schedules by credit earned and by the number of reports. */
function compareReportSchedules (run: PolicyRun, seeds: number): void {
  for (const reportSchedule of Object.keys(reportSchedules) as ReportSchedule[]) {
    const { worth, refused, late, reportsPerSecond } = meanFigures({ ...run, reportSchedule }, seeds)
    printFigures('telling', {
      site: run.site, telling: reportSchedule, load: run.perSecond, seeds, worth: worth.toFixed(3), refused: refused.toFixed(3), late: late.toFixed(3), heard_per_second: Math.round(reportsPerSecond)
    })
  }
}

function meanFigures (run: PolicyRun, seeds: number): PolicyFigures {
  const figures = Array.from({ length: seeds }, (_, index) => simulatePolicy({ ...run, seed: run.seed + index }))
  const mean = (value: (each: PolicyFigures) => number): number => figures.reduce((sum, each) => sum + value(each), 0) / figures.length
  return { worth: mean(each => each.worth), refused: mean(each => each.refused), late: mean(each => each.late), firstTokenMedian: mean(each => each.firstTokenMedian), firstTokenP99: mean(each => each.firstTokenP99), reportsPerSecond: mean(each => each.reportsPerSecond) }
}

async function plotWorth (points: readonly PolicyPoint[]): Promise<string> {
  const specification: TopLevelSpec = {
    $schema: 'https://vega.github.io/schema/vega-lite/v6.json',
    data: { values: points.map(point => ({ ...point })) },
    width: 420,
    height: 300,
    mark: { type: 'line', point: true },
    encoding: {
      x: { field: 'load', type: 'quantitative', title: 'requests a second' },
      y: { field: 'worth', type: 'quantitative', title: 'credit earned of credit owed' },
      color: { field: 'policy', type: 'nominal' }
    }
  }
  return await new View(parse(compile(specification).spec), { renderer: 'none' }).toSVG()
}
