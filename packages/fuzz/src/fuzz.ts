/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Command that fuzzes the promises, or the variants that must violate them. */
import { Command } from 'commander'
import { fuzzNegatives, fuzzPromises } from './lib/campaign.js'
import { printPlainFigures } from './lib/plain-figures.js'

const DEFAULT_RUNS = 300

const program = new Command('fuzz')
  .option('--seed <number>', 'seed of the random generator', Number, 7)
  .option('--runs <number>', 'runs of each scenario', Number, DEFAULT_RUNS)
  .option('--scenario <name>', 'runs one scenario: weights, requests, configuration, routed, plain, suspects, limits or published')
  .option('--replay <path>', 'replays the case whose path a violation printed')
  .option('--negatives', 'runs the variants, each of which must violate its promise')
  .option('--figures', 'prints what callers of a plain service get under several faults')
  .action((options: { seed: number, runs: number, scenario?: string, replay?: string, negatives?: boolean, figures?: boolean }) => {
    const print = (line: string): void => { process.stdout.write(`${line}\n`) }
    if (options.figures === true) return printPlainFigures(options.seed, print)
    const campaign = { seed: options.seed, runs: options.runs, print, ...(options.scenario === undefined ? {} : { scenario: options.scenario }), ...(options.replay === undefined ? {} : { path: options.replay }) }
    process.exitCode = (options.negatives === true ? fuzzNegatives(campaign) : fuzzPromises(campaign)) ? 0 : 1
  })

program.parse(process.argv)
