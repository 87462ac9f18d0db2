/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Logs: one line of key=value pairs for each event, with stable event names (docs/OPERATIONS.md lists them). A line
 * that repeats is held back and counted, so that a storm of one event cannot fill the log. Lines about single requests
 * have a rate of their own, so that each request of an ordinary load can be followed.
 */
import { createLogger, format, transports, type Logger } from 'winston'
import { TokenBucket } from '@drumdrift/core'
import { BoundedOutput, WRITE_PAUSE } from './bounded-output.js'

/** Values of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>

/** Severities, the least severe first. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error'

/** Lines of one event that are written within a window; more are counted. */
const LINES_PER_WINDOW = 20
const WINDOW = 10_000
/** Lines about requests in a second: four for each of a hundred requests. Beyond that they are counted. */
const REQUEST_LINES_PER_SECOND = 400
const REQUEST_LINES_BURST = 800
/** Lines that were left out are told this often, in milliseconds. */
const DROP_REPORT_PAUSE = 1_000
const STANDARD_OUTPUT = 1

/** Writes log lines of one process. */
export class Log {
  private readonly _logger: Logger
  private readonly _written = new Map<string, { since: number, lines: number }>()
  private readonly _requestLines = new TokenBucket(REQUEST_LINES_PER_SECOND, REQUEST_LINES_BURST, performance.now())
  private _requestsLeftOut = 0
  private _reportedAt = performance.now()

  constructor (level: LogLevel, private readonly _common: LogFields, private readonly _output = new BoundedOutput(STANDARD_OUTPUT, undefined, undefined, WRITE_PAUSE)) {
    this._logger = createLogger({
      level,
      format: format.printf(info => String(info.message)),
      transports: [new transports.Stream({ stream: _output, eol: '\n' })]
    })
  }

  /** Sets the least severe level that is written. */
  setLevel (level: LogLevel): void { this._logger.level = level }

  /** Writes a line about one request. Under more load than can be written, lines are left out and counted. */
  request (event: string, fields: LogFields): void {
    const now = performance.now()
    this._reportLeftOut(now)
    if (!this._requestLines.trySpend(1, now)) {
      this._requestsLeftOut += 1
      return
    }
    this._logger.info(formatLine('info', event, { ...this._common, ...fields }))
  }

  /** Waits until what was logged is written, for `patience` milliseconds at most. */
  async flush (patience: number): Promise<void> {
    this._reportLeftOut(Infinity)
    await this._output.flush(patience)
  }

  private _reportLeftOut (now: number): void {
    if (now - this._reportedAt < DROP_REPORT_PAUSE) return
    this._reportedAt = now
    const dropped = this._output.takeDropped()
    if (dropped === 0 && this._requestsLeftOut === 0) return
    this._logger.warn(formatLine('warn', 'log-lines-left-out', { ...this._common, requests: this._requestsLeftOut, unread: dropped }))
    this._requestsLeftOut = 0
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
