/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Formats process statuses as a table for people, and as key=value or JSON lines for programs.
 */
import type { ProcessStatus } from '@drumdrift/core'
import { formatPairs, type LogFields } from '../observe/log.js'

/** Output formats of an answer. */
export type AnswerFormat = 'table' | 'pairs' | 'json'

const SHOWN_DIGEST_LENGTH = 12

/** Converts a status into one flat row. */
export function rowOf (status: ProcessStatus): LogFields {
  return {
    instance: status.instance,
    zone: status.availabilityZone,
    role: status.role,
    pool: status.endpoint === '' ? '-' : status.endpoint,
    lifecycle: status.lifecycle,
    state: status.state,
    percent: Math.floor(status.progress * 100),
    version: shortDigest(status.version),
    wanted: shortDigest(status.wanted),
    running: status.running,
    revision: status.revisions.configuration,
    age_seconds: Math.round(Math.min(status.ages.configuration, 1e9) / 1000),
    incarnation: status.incarnation,
    detail: status.detail === '' ? '-' : status.detail
  }
}

const renderers: Record<AnswerFormat, (rows: readonly LogFields[]) => string> = {
  table: renderTable,
  pairs: rows => rows.map(formatPairs).join('\n'),
  json: rows => rows.map(row => JSON.stringify(row)).join('\n')
}

/**
 * Formats rows.
 *
 * @example
 * renderRows(statuses.map(rowOf), 'table')
 */
export function renderRows (rows: readonly LogFields[], format: AnswerFormat): string {
  return renderers[format](rows)
}

function renderTable (rows: readonly LogFields[]): string {
  const columns = Object.keys(rows[0] ?? {})
  const widths = columns.map(column => Math.max(column.length, ...rows.map(row => String(row[column]).length)))
  const line = (cells: readonly string[]): string => cells.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join('  ').trimEnd()
  return [line(columns), ...rows.map(row => line(columns.map(column => String(row[column]))))].join('\n')
}

function shortDigest (digest: string): string {
  return digest === '' ? '-' : digest.slice(0, SHOWN_DIGEST_LENGTH)
}
