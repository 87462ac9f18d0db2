/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Logs: one line of key=value pairs for each event, with stable event names (docs/OPERATIONS.md lists them). A line
 * that repeats is held back and counted, so that a storm of one event cannot fill the log.
 */
import { createLogger, format, transports, type Logger } from 'winston'

/** Values of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>

/** Severities, the least severe first. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error'

/** Lines of one event that are written within a window; more are counted. */
const LINES_PER_WINDOW = 20
const WINDOW = 10_000

/** Writes log lines of one process. */
export class Log {
  private readonly _logger: Logger
  private readonly _written = new Map<string, { since: number, lines: number }>()

  constructor (level: LogLevel, private readonly _common: LogFields) {
    this._logger = createLogger({
      level,
      format: format.printf(info => String(info.message)),
      transports: [new transports.Console({ stderrLevels: [] })]
    })
  }

  /**
   * Writes an event.
   *
   * @example
   * log.info('configuration-adopted', { revision: 7 })
   */
  info (event: string, fields: LogFields = {}): void { this._write('info', event, fields) }
  debug (event: string, fields: LogFields = {}): void { this._write('debug', event, fields) }
  warn (event: string, fields: LogFields = {}): void { this._write('warn', event, fields) }
  error (event: string, fields: LogFields = {}): void { this._write('error', event, fields) }

  private _write (level: LogLevel, event: string, fields: LogFields): void {
    const now = performance.now()
    const written = this._written.get(event)
    if (written === undefined || now - written.since > WINDOW) {
      const suppressed = Math.max(0, (written?.lines ?? 0) - LINES_PER_WINDOW)
      this._written.set(event, { since: now, lines: 1 })
      this._logger.log(level, formatLine(level, event, { ...this._common, ...fields, suppressed: suppressed > 0 ? suppressed : undefined }))
      return
    }
    written.lines += 1
    if (written.lines <= LINES_PER_WINDOW) this._logger.log(level, formatLine(level, event, { ...this._common, ...fields }))
  }
}

/**
 * One line of key=value pairs; values with spaces are quoted.
 *
 * @example
 * formatPairs({ event: 'bench', ratio: 1.2 }) // 'event=bench ratio=1.2'
 */
export function formatPairs (fields: LogFields): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${quote(String(value))}`)
    .join(' ')
}

function formatLine (level: LogLevel, event: string, fields: LogFields): string {
  return formatPairs({ time: new Date().toISOString(), level, event, ...fields })
}

function quote (value: string): string {
  return /^[^\s"=]+$/.test(value) ? value : JSON.stringify(value)
}
