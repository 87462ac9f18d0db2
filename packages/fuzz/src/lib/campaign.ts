/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Runs the scenarios, and the variants that must violate a promise, and prints a line for each promise or variant. */
import { realConfigurationParts } from './configuration-world.js'
import { realRequestParts } from './request-parts.js'
import { runScenario, type Finding } from './scenario.js'
import { realRoutedParts } from './routed-world.js'
import { configurationScenario, limitScenario, plainScenario, publishedScenario, requestScenario, routedScenario, suspectScenario, weightsScenario } from './scenarios.js'
import { realLimitParts } from './limit-world.js'
import { realPlainParts } from './plain-world.js'
import { realPublishedParts } from './published-parts.js'
import { realSuspectParts } from './suspect-world.js'
import { realWeightsParts } from './weights-world.js'
import { variants } from './variants.js'

/** Options of a campaign. */
export interface CampaignOptions {
  readonly seed: number
  readonly runs: number
  readonly scenario?: string
  readonly path?: string
  readonly print: (line: string) => void
}

interface RunnableScenario {
  readonly name: string
  readonly promises: readonly string[]
  readonly run: (options: { seed: number, runs: number, path?: string }) => Finding
}

const runnableScenarios: readonly RunnableScenario[] = [
  { name: weightsScenario.name, promises: weightsScenario.promises, run: options => runScenario(weightsScenario, realWeightsParts, options) },
  { name: requestScenario.name, promises: requestScenario.promises, run: options => runScenario(requestScenario, realRequestParts, options) },
  { name: configurationScenario.name, promises: configurationScenario.promises, run: options => runScenario(configurationScenario, realConfigurationParts, options) },
  { name: routedScenario.name, promises: routedScenario.promises, run: options => runScenario(routedScenario, realRoutedParts, options) },
  { name: plainScenario.name, promises: plainScenario.promises, run: options => runScenario(plainScenario, realPlainParts, options) },
  { name: suspectScenario.name, promises: suspectScenario.promises, run: options => runScenario(suspectScenario, realSuspectParts, options) },
  { name: limitScenario.name, promises: limitScenario.promises, run: options => runScenario(limitScenario, realLimitParts, options) },
  { name: publishedScenario.name, promises: publishedScenario.promises, run: options => runScenario(publishedScenario, realPublishedParts, options) }
]

/**
 * Fuzzes every promise, or those of one scenario.
 *
 * @returns Whether no promise was violated.
 * @example
 * const held = fuzzPromises({ seed: 7, runs: 200, print: console.log })
 */
export function fuzzPromises ({ seed, runs, scenario, path, print }: CampaignOptions): boolean {
  let held = true
  for (const runnable of runnableScenarios) {
    if (scenario !== undefined && scenario !== runnable.name) continue
    const finding = runnable.run({ seed, runs, ...(path === undefined ? {} : { path }) })
    for (const promise of runnable.promises) {
      const violationCount = finding.violations.filter(violation => violation.includes(` ms: ${promise}:`)).length
      print(`event=fuzz promise=${promise} scenario=${runnable.name} seed=${seed} runs=${finding.runs} commands=${finding.commands} violations=${violationCount}`)
    }
    if (finding.violations.length === 0) continue
    held = false
    print(`event=violation scenario=${runnable.name} seed=${seed} path=${finding.path} what=${JSON.stringify(finding.violations[0])}`)
    print(`event=case scenario=${runnable.name} commands=${JSON.stringify(finding.counterexample)}`)
    print(`event=replay command="npm run fuzz -- --scenario ${runnable.name} --seed ${seed} --replay ${finding.path}"`)
  }
  return held
}

/**
 * Runs every variant.
 *
 * @returns Whether each variant violated the promise that it is meant to violate.
 */
export function fuzzNegatives ({ seed, runs, print }: CampaignOptions): boolean {
  let caught = true
  for (const variant of variants) {
    const finding = variant.run({ seed, runs })
    const detected = finding.violations.some(violation => violation.includes(` ms: ${variant.promise}:`))
    caught &&= detected
    print(`event=negative variant=${variant.name} promise=${variant.promise} seed=${seed} runs=${finding.runs} caught=${detected} path=${finding.path || '-'} what=${JSON.stringify(finding.violations[0] ?? 'nothing')}`)
  }
  return caught
}
