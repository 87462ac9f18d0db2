/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Command-line program that injects faults into the production programs and checks what callers and endpoints observe. */
import { Command } from 'commander'
import { formatPairs, orExit } from 'drumdrift'
import { checkOptions, type SoakOptions } from './lib/soak-options.js'
import { runSoak } from './lib/soak-run.js'

/** Conventional exit code of a program ended by SIGINT. */
const EXIT_INTERRUPTED = 130

const program = new Command('soak')
  .description('injects faults into the production programs on loopback')
  .option('--seed <number>', 'seed of the random faults', '7')
  .option('--minutes <number>', 'how long faults are injected', '1')
  .option('--processes <number>', 'number of entry processes', '6')
  .option('--rate <number>', 'calls per second', '60')
  .option('--pause <milliseconds>', 'mean time between two faults', '1500')
  .option('--faults <sets>', 'sets of faults, comma-separated: usual, versions, crowds', 'usual')
  .action(async (given: Record<keyof SoakOptions, string>) => {
    const options = orExit(() => checkOptions(given))
    for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => process.exit(EXIT_INTERRUPTED))
    const passed = await runSoak(options, fields => { process.stdout.write(`${formatPairs(fields)}\n`) })
    process.exitCode = passed ? 0 : 1
  })

program.parseAsync(process.argv)
