/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Reads the resource usage of processes and of the machine. */
import { execFileSync } from 'node:child_process'
import { readFileSync } from 'node:fs'

const MILLISECONDS_PER_TICK = 10
/** The index of stolen time among the processor times in `/proc/stat`. */
const STOLEN_FIELD = 7

/** Returns the processor time that a process has used so far, in milliseconds. */
export function processorMilliseconds (pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').replace(/^.*\) /, '').split(' ')
  return (Number(fields[11]) + Number(fields[12])) * MILLISECONDS_PER_TICK
}

/** What a process has used since its start. */
export interface ProcessUse {
  /** Processor time in the process's own code and in the kernel, in milliseconds. */
  readonly user: number
  readonly system: number
  /** The number of times its main thread waited, which for an event loop is about the number of its wakes. */
  readonly wakes: number
  /** The most memory that was resident at once, in kilobytes. */
  readonly resident: number
}

/** Returns what a process has used since its start. */
export function readUse (pid: number): ProcessUse {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').replace(/^.*\) /, '').split(' ')
  const status = readFileSync(`/proc/${pid}/status`, 'utf8')
  const valueOf = (name: string): number => Number(new RegExp(`^${name}:\\s+(\\d+)`, 'm').exec(status)?.[1])
  return { user: Number(fields[11]) * MILLISECONDS_PER_TICK, system: Number(fields[12]) * MILLISECONDS_PER_TICK, wakes: valueOf('voluntary_ctxt_switches'), resident: valueOf('VmHWM') }
}

/** Returns the machine's total processor time and the time stolen by the hypervisor so far, in ticks. */
export function machineTicks (): { readonly all: number, readonly stolen: number } {
  const ticks = (readFileSync('/proc/stat', 'utf8').split('\n')[0] ?? '').split(/\s+/).slice(1, 9).map(Number)
  return { all: ticks.reduce((sum, tick) => sum + tick, 0), stolen: ticks[STOLEN_FIELD] ?? 0 }
}

/** Returns the resident memory of a new Node.js process after it has imported modules, in bytes, as the process reports it. */
export function residentAfterImports (modules: readonly string[], from: string): number {
  const imports = modules.map(name => `await import(${JSON.stringify(name)});`).join('')
  const script = `${imports}await new Promise(resolve => setTimeout(resolve, 200)); console.log(process.memoryUsage().rss)`
  return Number(execFileSync(process.execPath, ['--input-type=module', '-e', script], { cwd: from, encoding: 'utf8' }))
}
