/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Plays faults from outside against the real programs, and judges what callers and endpoints saw. */
import { Command } from 'commander'
import { formatPairs, orExit } from 'drumdrift'
import { checkOptions, type SoakOptions } from './lib/soak-options.js'
import { runSoak } from './lib/soak-run.js'

/** As shells say it of a program that was interrupted. */
const EXIT_INTERRUPTED = 130

const program = new Command('soak')
  .description('plays faults against the real programs on loopback')
  .option('--seed <number>', 'seed of the faults', '7')
  .option('--minutes <number>', 'how long faults are caused', '1')
  .option('--processes <number>', 'entries, each a process', '6')
  .option('--rate <number>', 'calls a second', '60')
  .option('--pause <milliseconds>', 'mean pause between two faults', '1500')
  .action(async (given: Record<keyof SoakOptions, string>) => {
    const options = orExit(() => checkOptions(given))
    for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => process.exit(EXIT_INTERRUPTED))
    const kept = await runSoak(options, fields => { process.stdout.write(`${formatPairs(fields)}\n`) })
    process.exitCode = kept ? 0 : 1
  })

program.parseAsync(process.argv)
