/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Settings at the start of a program: a mistake ends the process with one line that names it.
 */
import { DrumdriftError, type SettingsFailure } from '@drumdrift/core'
import { formatPairs } from '../observe/log.js'

/** Exit code for a wrong settings file or a wrong command. */
export const EXIT_WRONG_INPUT = 2

/**
 * Reads settings, or ends the process with one line that names the mistake.
 *
 * @example
 * const settings = orExit(() => readSettings(file, 'entry'))
 */
export function orExit<Value> (read: () => Value): Value {
  try {
    return read()
  } catch (error) {
    if (!(error instanceof DrumdriftError) || error.failure.type !== 'settings-failure') throw error
    process.stderr.write(`${settingsLine(error.failure)}\n`)
    process.exit(EXIT_WRONG_INPUT)
  }
}

function settingsLine ({ file, section, key, expected }: SettingsFailure): string {
  return formatPairs({ event: 'settings-wrong', file, section, key, expected })
}
