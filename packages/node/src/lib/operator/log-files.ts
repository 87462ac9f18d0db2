/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Reads log files for the commands `explain` and `losses`. */
import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { formatPairs } from '../observe/log.js'
import { parseLogLine, type LogLine } from './explain.js'

/** Exit code if a file cannot be read. */
export const EXIT_UNREADABLE = 2

/** Describes a file that cannot be read. */
export interface LogFileFailure {
  readonly type: 'log-file-failure'
  readonly file: string
  readonly detail: string
}

/**
 * Reads the log lines of files and skips all other lines.
 *
 * @returns The lines of all files, or the failure for the first file that cannot be read.
 * @example
 * const read = await readLogFiles(['entry-1.log', 'agent-1.log'])
 */
export async function readLogFiles (files: readonly string[]): Promise<LogLine[] | LogFileFailure> {
  const lines: LogLine[] = []
  for (const file of files) {
    try {
      for await (const text of createInterface({ input: createReadStream(file), crlfDelay: Infinity })) {
        const line = parseLogLine(text)
        if (line !== undefined) lines.push(line)
      }
    } catch (error) {
      return { type: 'log-file-failure', file, detail: error instanceof Error ? error.message : 'unknown error' }
    }
  }
  return lines
}

/** Formats the output line for a file that cannot be read. */
export function logFileFailureLine ({ file, detail }: LogFileFailure): string {
  return `${formatPairs({ event: 'file-unreadable', file, detail })}\n`
}
