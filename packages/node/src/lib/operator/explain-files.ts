/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Reads log files for the `explain` command. */
import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { formatPairs } from '../observe/log.js'
import { explainRequest, explanationFields, parseLogLine, type LogLine } from './explain.js'

/** Exit codes: no line names the request; a file cannot be read. */
const EXIT_NOT_FOUND = 1
const EXIT_UNREADABLE = 2

/**
 * Prints what the files tell of one request.
 *
 * @returns The exit code.
 * @example
 * process.exitCode = await explainFiles('9c41d07b', ['entry-1.log', 'agent-1.log'], text => process.stdout.write(text))
 */
export async function explainFiles (id: string, files: readonly string[], print: (text: string) => void): Promise<number> {
  const lines: LogLine[] = []
  for (const file of files) {
    try {
      for await (const text of createInterface({ input: createReadStream(file), crlfDelay: Infinity })) {
        const line = parseLogLine(text)
        if (line !== undefined) lines.push(line)
      }
    } catch (error) {
      print(`${formatPairs({ event: 'file-unreadable', file, detail: error instanceof Error ? error.message : 'unknown error' })}\n`)
      return EXIT_UNREADABLE
    }
  }
  const explanation = explainRequest(id, lines)
  if (explanation === undefined) {
    print(`${formatPairs({ event: 'not-found', id, files: files.length, lines: lines.length })}\n`)
    return EXIT_NOT_FOUND
  }
  for (const { text } of explanation.around) print(`around  ${text}\n`)
  for (const { text } of explanation.request) print(`request ${text}\n`)
  print(`${formatPairs(explanationFields(explanation))}\n`)
  return 0
}
