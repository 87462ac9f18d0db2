/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Implements the `losses` command. */
import { formatPairs } from '../observe/log.js'
import { EXIT_UNREADABLE, logFileFailureLine, readLogFiles } from './log-files.js'
import { countLosses, lossLines } from './losses.js'

/** Exit code if the files contain no request. */
const EXIT_NO_REQUESTS = 1
/** Exit code for an invalid option. */
const EXIT_WRONG_OPTION = 2

/**
 * Prints how many requests were lost, by cause, entry and time.
 *
 * @param seconds The length of a span, as given on the command line.
 * @returns The exit code.
 * @example
 * process.exitCode = await lossesOfFiles(['entry-1.log'], '2', text => process.stdout.write(text))
 */
export async function lossesOfFiles (files: readonly string[], seconds: string, print: (text: string) => void): Promise<number> {
  const spanMilliseconds = Number(seconds) * 1000
  if (!(spanMilliseconds > 0) || !Number.isFinite(spanMilliseconds)) {
    print(`${formatPairs({ event: 'option-wrong', option: 'span', value: seconds, expected: 'seconds above 0' })}\n`)
    return EXIT_WRONG_OPTION
  }
  const lines = await readLogFiles(files)
  if (!Array.isArray(lines)) {
    print(logFileFailureLine(lines))
    return EXIT_UNREADABLE
  }
  const table = countLosses(lines, spanMilliseconds)
  if (table.all.size === 0) {
    print(`${formatPairs({ event: 'not-found', files: files.length, lines: lines.length })}\n`)
    return EXIT_NO_REQUESTS
  }
  for (const fields of lossLines(table)) print(`${formatPairs(fields)}\n`)
  return 0
}
