/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Reads what a process of this machine has used, from outside it. */
import { execFileSync } from 'node:child_process'
import { readFileSync } from 'node:fs'

const MILLISECONDS_PER_TICK = 10
const BYTES_PER_KIBIBYTE = 1024

/** Processor time of a process so far, in milliseconds. */
export function processorMilliseconds (pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').replace(/^.*\) /, '').split(' ')
  return (Number(fields[11]) + Number(fields[12])) * MILLISECONDS_PER_TICK
}

/** Resident memory of a process, in bytes. */
export function residentBytes (pid: number): number {
  const kibibytes = /VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? '0'
  return Number(kibibytes) * BYTES_PER_KIBIBYTE
}

/** Resident memory of a fresh runtime after some imports, in bytes, by its own reading. */
export function residentAfterImports (modules: readonly string[], from: string): number {
  const imports = modules.map(name => `await import(${JSON.stringify(name)});`).join('')
  const script = `${imports}await new Promise(resolve => setTimeout(resolve, 200)); console.log(process.memoryUsage().rss)`
  return Number(execFileSync(process.execPath, ['--input-type=module', '-e', script], { cwd: from, encoding: 'utf8' }))
}
