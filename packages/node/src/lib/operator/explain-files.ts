/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Implements the `explain` command. */
import { formatPairs } from '../observe/log.js'
import { explainRequest, explanationFields } from './explain.js'
import { EXIT_UNREADABLE, logFileFailureLine, readLogFiles } from './log-files.js'

/** Exit code if no log line has the id of the request. */
const EXIT_NOT_FOUND = 1

/**
 * Prints the log lines of one request, the lines around it and the cause of its result.
 *
 * @returns The exit code.
 * @example
 * process.exitCode = await explainFiles('9c41d07b', ['entry-1.log', 'agent-1.log'], text => process.stdout.write(text))
 */
export async function explainFiles (id: string, files: readonly string[], print: (text: string) => void): Promise<number> {
  const lines = await readLogFiles(files)
  if (!Array.isArray(lines)) {
    print(logFileFailureLine(lines))
    return EXIT_UNREADABLE
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
