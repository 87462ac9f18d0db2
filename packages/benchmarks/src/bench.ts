/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Runs a benchmark by name. */
import { Command } from 'commander'
import { printFigures, twoDecimals, type Bench, type BenchOptions } from './lib/bench-options.js'
import { machineTicks } from './lib/process-reading.js'

const benches: Record<string, () => Promise<Bench>> = {
  requests: async () => (await import('./lib/requests-bench.js')).requestsBench,
  burst: async () => (await import('./lib/burst-bench.js')).burstBench,
  choice: async () => (await import('./lib/choice-bench.js')).choiceBench,
  retries: async () => (await import('./lib/retries-bench.js')).retriesBench,
  'rollout-under-load': async () => (await import('./lib/rollout-under-load-bench.js')).rolloutUnderLoadBench,
  configuration: async () => (await import('./lib/configuration-bench.js')).configurationBench,
  chaos: async () => (await import('./lib/chaos-bench.js')).chaosBench,
  capacity: async () => (await import('./lib/capacity-bench.js')).capacityBench,
  suspects: async () => (await import('./lib/suspects/suspects-bench.js')).suspectsBench,
  limits: async () => (await import('./lib/limits/limits-bench.js')).limitsBench,
  policy: async () => (await import('./lib/policy/policy-bench.js')).policyBench,
  overload: async () => (await import('./lib/policy/overload-bench.js')).overloadBench,
  'processor-time': async () => (await import('./lib/processor-time-bench.js')).processorTimeBench,
  rollout: async () => (await import('./lib/rollout-bench.js')).rolloutBench
}

/** Runs a benchmark and prints the share of processor time that was stolen meanwhile; timings are unreliable when it is large. */
async function runBench (name: string, bench: Bench, options: BenchOptions): Promise<boolean> {
  const before = machineTicks()
  const good = await bench(options)
  const after = machineTicks()
  printFigures(name, { what: 'machine', stolen_share: twoDecimals((after.stolen - before.stolen) / (after.all - before.all)) })
  return good
}

const program = new Command('bench').argument('<name>', Object.keys(benches).join(', '))
  .option('--seed <number>', 'seed of the random generator', Number, 7)
  .option('--endpoints <number>', 'number of endpoints in the fleet', Number, 24)
  .option('--origin-copies <number>', 'number of copies that may be read from the origin', Number, 1)
  .option('--strategy <name>', 'strategy for distributing chunks', 'rotation')
  .option('--kill <number>', 'number of agents to kill', Number, 0)
  .option('--stall <number>', 'number of agents whose link stalls', Number, 0)
  .option('--corrupt <number>', 'number of agents whose chunks are corrupted', Number, 0)
  .option('--seconds <number>', 'duration of the measurement in seconds', Number, 8)
  .option('--window <number>', 'number of chunks in flight at one agent', Number, 32)
  .option('--seeds <number>', 'number of seeds to run a simulation with', Number, 40)
  .option('--program <file>', 'launcher of another build to measure')
  .option('--plot <file>', 'writes an SVG plot, where the benchmark has one')
  .option('--no-baselines', 'skips the baselines')
  .action(async (name: string, options: BenchOptions) => {
    const load = Object.hasOwn(benches, name) ? benches[name] : undefined
    if (load === undefined) program.error(`unknown benchmark: ${name}`, { exitCode: 2 })
    else process.exitCode = await runBench(name, await load(), options) ? 0 : 1
  })

await program.parseAsync(process.argv)
process.exit()
