/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Reads what a process of this machine has used, from outside it. */
import { execFileSync } from 'node:child_process'
import { readFileSync } from 'node:fs'

const MILLISECONDS_PER_TICK = 10
/** Where the stolen time stands among the machine's kinds of time. */
const STOLEN_FIELD = 7

/** Processor time of a process so far, in milliseconds. */
export function processorMilliseconds (pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').replace(/^.*\) /, '').split(' ')
  return (Number(fields[11]) + Number(fields[12])) * MILLISECONDS_PER_TICK
}

/** Processor time of the whole machine so far, in its own ticks: in all, and what others took from it. */
export function machineTicks (): { readonly all: number, readonly stolen: number } {
  const ticks = (readFileSync('/proc/stat', 'utf8').split('\n')[0] ?? '').split(/\s+/).slice(1, 9).map(Number)
  return { all: ticks.reduce((sum, tick) => sum + tick, 0), stolen: ticks[STOLEN_FIELD] ?? 0 }
}

/** Resident memory of a fresh runtime after some imports, in bytes, by its own reading. */
export function residentAfterImports (modules: readonly string[], from: string): number {
  const imports = modules.map(name => `await import(${JSON.stringify(name)});`).join('')
  const script = `${imports}await new Promise(resolve => setTimeout(resolve, 200)); console.log(process.memoryUsage().rss)`
  return Number(execFileSync(process.execPath, ['--input-type=module', '-e', script], { cwd: from, encoding: 'utf8' }))
}
