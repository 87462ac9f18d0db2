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
  private readonly _commonPairs: string

  constructor (level: LogLevel, private readonly _commonFields: LogFields, private readonly _output = new BoundedOutput(STANDARD_OUTPUT, undefined, undefined, WRITE_INTERVAL_MILLISECONDS)) {
    this._commonPairs = formatPairs(_commonFields)
    this._logger = createLogger({
      level,
      format: format.printf(info => String(info.message)),
      transports: [new transports.Stream({ stream: _output, eol: '\n' })]
    })
  }

  /** Sets the minimum level of the lines that are written. */
  setLevel (level: LogLevel): void { this._logger.level = level }

  /**
   * Writes a line about one request. Lines above the rate limit are dropped and counted. They go to the output directly: the logger's
   * streams took a twentieth of an entry's processor time for the three lines of each request.
   */
  request (event: string, fields: LogFields): void {
    const now = performance.now()
    this._reportDroppedLines(now)
    if (!this._requestLineBudget.trySpend(1, now)) {
      this._droppedRequestLines += 1
      return
    }
    if (this._logger.level === 'debug' || this._logger.level === 'info') this._output.write(`${this._formatLine('info', event, fields)}\n`)
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
    this._logger.warn(this._formatLine('warn', 'log-lines-left-out', { requests: this._droppedRequestLines, unread: dropped }))
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
      this._logger.log(level, this._formatLine(level, event, { ...fields, suppressed: suppressed > 0 ? suppressed : undefined }))
      return
    }
    window.lines += 1
    if (window.lines <= LINES_PER_WINDOW) this._logger.log(level, this._formatLine(level, event, fields))
  }

  /** Fields of the line replace common fields of the same name. */
  private _formatLine (level: LogLevel, event: string, fields: LogFields): string {
    const replaces = Object.keys(this._commonFields).some(key => key in fields)
    const head = `time=${new Date().toISOString()} level=${level} event=${quote(event)}`
    return replaces ? joinPairs(head, formatPairs({ ...this._commonFields, ...fields })) : joinPairs(joinPairs(head, this._commonPairs), formatPairs(fields))
  }
}

/**
 * Formats one line of key=value pairs. Empty values and values with spaces, quotes or equals signs are quoted.
 *
 * @example
 * formatPairs({ event: 'bench', ratio: 1.2 }) // 'event=bench ratio=1.2'
 */
export function formatPairs (fields: LogFields): string {
  let pairs = ''
  for (const key of Object.keys(fields)) {
    const value = fields[key]
    if (value === undefined) continue
    const pair = `${key}=${typeof value === 'string' ? quote(value) : value}`
    pairs = pairs === '' ? pair : `${pairs} ${pair}`
  }
  return pairs
}

function joinPairs (left: string, right: string): string { return right === '' ? left : `${left} ${right}` }

function quote (value: string): string {
  return /^[^\s"=]+$/.test(value) ? value : JSON.stringify(value)
}
