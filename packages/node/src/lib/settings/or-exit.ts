/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Reads settings when a program starts. An invalid setting ends the process with one line that identifies it.
 */
import { DrumdriftError, type SettingsFailure } from '@drumdrift/core'
import { formatPairs } from '../observe/log.js'

/** Exit code for an invalid settings file or command. */
export const EXIT_WRONG_INPUT = 2

/**
 * Reads settings, or prints one line that describes the invalid setting and ends the process.
 *
 * @example
 * const settings = orExit(() => readSettings(file, 'entry'))
 */
export function orExit<Value> (read: () => Value): Value {
  try {
    return read()
  } catch (error) {
    if (!(error instanceof DrumdriftError) || error.failure.type !== 'settings-failure') throw error
    process.stderr.write(`${formatFailure(error.failure)}\n`)
    process.exit(EXIT_WRONG_INPUT)
  }
}

function formatFailure ({ file, section, key, expected }: SettingsFailure): string {
  return formatPairs({ event: 'settings-wrong', file, section, key, expected })
}
