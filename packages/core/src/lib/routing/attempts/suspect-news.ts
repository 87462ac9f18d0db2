/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** What processes tell each other of requests that may crash endpoints. */
import { isTraitKind, type TraitKind } from './request-traits.js'

/** An endpoint that was lost while it ran a request, as sent to other processes. */
export interface LossReport {
  readonly fingerprint: string
  /** The incarnation of the endpoint: see `startKeyOf`. */
  readonly start: string
  /** Milliseconds since the loss. */
  readonly age: number
  /** What the fingerprint identifies; the whole request if absent. */
  readonly kind?: TraitKind | undefined
}

/** A request that an endpoint answered, as sent to other processes: earlier losses under this request had another cause. */
export interface AnswerReport {
  readonly fingerprint: string
  /** Milliseconds since the answer. */
  readonly age: number
}

/** The observations that processes share. */
export interface SuspectNews {
  readonly losses: readonly LossReport[]
  readonly answers: readonly AnswerReport[]
}

/** The most losses, and the most answers, in one message: more at a time identify no single request, and a longer message is rejected. */
export const MAX_SUSPECT_REPORTS = 512

const FINGERPRINT = /^[0-9a-f]{16}$/
const MAX_START_LENGTH = 200

/**
 * Validates the observations received from another process; returns `undefined` if they are malformed.
 *
 * @example
 * const news = readSuspectNews({ losses: [{ fingerprint: '0123456789abcdef', start: 'engine-7', age: 120 }], answers: [] })
 */
export function readSuspectNews (input: unknown): SuspectNews | undefined {
  if (typeof input !== 'object' || input === null) return undefined
  const { losses, answers } = input as Partial<Record<keyof SuspectNews, unknown>>
  if (!isListOf(losses, isLossReport) || !isListOf(answers, isAnswerReport)) return undefined
  // A later release may know more kinds.
  return { losses: losses.filter(({ kind }) => kind === undefined || isTraitKind(kind)), answers }
}

function isListOf<Item> (input: unknown, isItem: (item: unknown) => item is Item): input is Item[] {
  return Array.isArray(input) && input.length <= MAX_SUSPECT_REPORTS && input.every(isItem)
}

function isAnswerReport (input: unknown): input is AnswerReport {
  if (typeof input !== 'object' || input === null) return false
  const { fingerprint, age } = input as Partial<Record<keyof AnswerReport, unknown>>
  return typeof fingerprint === 'string' && FINGERPRINT.test(fingerprint) && typeof age === 'number' && age >= 0
}

function isLossReport (input: unknown): input is LossReport {
  if (!isAnswerReport(input)) return false
  const { start, kind } = input as Partial<Record<keyof LossReport, unknown>>
  return typeof start === 'string' && start.length <= MAX_START_LENGTH && (kind === undefined || typeof kind === 'string')
}
