/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Writes the log: one line of key=value pairs for each event, with stable event names (listed in docs/OPERATIONS.md).
 * Repeated lines of one event are suppressed and counted, so that one event cannot flood the log. Lines about single
 * requests have a rate limit of their own, so that every request can be traced under normal load.
 */
import { createLogger, format, transports, type Logger } from 'winston'
import { TokenBucket } from '@drumdrift/core'
import { BoundedOutput, WRITE_INTERVAL_MILLISECONDS } from './bounded-output.js'

/** The fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>

/** Log levels, in order of increasing severity. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error'

/** Maximum number of lines of one event in a window; further lines are only counted. */
const LINES_PER_WINDOW = 20
/** Length of a window, in milliseconds. */
const WINDOW_MILLISECONDS = 10_000
/** Rate limit of lines about requests: four lines for each of 100 requests per second. Further lines are only counted. */
const REQUEST_LINES_PER_SECOND = 400
const REQUEST_LINES_BURST = 800
/** Minimum interval between reports of dropped lines, in milliseconds. */
const DROP_REPORT_INTERVAL_MILLISECONDS = 1_000
const STANDARD_OUTPUT = 1

/** Writes the log lines of one process. */
export class Log {
  private readonly _logger: Logger
  private readonly _windows = new Map<string, { since: number, lines: number }>()
  private readonly _requestLineBudget = new TokenBucket(REQUEST_LINES_PER_SECOND, REQUEST_LINES_BURST, performance.now())
  private _droppedRequestLines = 0
  private _reportedAt = performance.now()

  constructor (level: LogLevel, private readonly _commonFields: LogFields, private readonly _output = new BoundedOutput(STANDARD_OUTPUT, undefined, undefined, WRITE_INTERVAL_MILLISECONDS)) {
    this._logger = createLogger({
      level,
      format: format.printf(info => String(info.message)),
      transports: [new transports.Stream({ stream: _output, eol: '\n' })]
    })
  }

  /** Sets the minimum level of the lines that are written. */
  setLevel (level: LogLevel): void { this._logger.level = level }

  /** Writes a line about one request. Lines above the rate limit are dropped and counted. */
  request (event: string, fields: LogFields): void {
    const now = performance.now()
    this._reportDroppedLines(now)
    if (!this._requestLineBudget.trySpend(1, now)) {
      this._droppedRequestLines += 1
      return
    }
    this._logger.info(formatLine('info', event, { ...this._commonFields, ...fields }))
  }

  /** Waits until all logged lines are written, for at most `timeout` milliseconds. */
  async flush (timeout: number): Promise<void> {
    this._reportDroppedLines(Infinity)
    await this._output.flush(timeout)
  }

  private _reportDroppedLines (now: number): void {
    if (now - this._reportedAt < DROP_REPORT_INTERVAL_MILLISECONDS) return
    this._reportedAt = now
    const dropped = this._output.takeDropped()
    if (dropped === 0 && this._droppedRequestLines === 0) return
    this._logger.warn(formatLine('warn', 'log-lines-left-out', { ...this._commonFields, requests: this._droppedRequestLines, unread: dropped }))
    this._droppedRequestLines = 0
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
    const window = this._windows.get(event)
    if (window === undefined || now - window.since > WINDOW_MILLISECONDS) {
      const suppressed = Math.max(0, (window?.lines ?? 0) - LINES_PER_WINDOW)
      this._windows.set(event, { since: now, lines: 1 })
      this._logger.log(level, formatLine(level, event, { ...this._commonFields, ...fields, suppressed: suppressed > 0 ? suppressed : undefined }))
      return
    }
    window.lines += 1
    if (window.lines <= LINES_PER_WINDOW) this._logger.log(level, formatLine(level, event, { ...this._commonFields, ...fields }))
  }
}

/**
 * Formats one line of key=value pairs. Empty values and values with spaces, quotes or equals signs are quoted.
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
