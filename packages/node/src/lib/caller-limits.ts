/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** The bounds on what callers may hold of an entry, also those that it does not know. */
import { descriptorLimit } from './descriptor-limit.js'
import type { Settings } from './settings/settings.js'

/** What the callers of one entry may hold. */
export interface CallerLimits {
  /** See `ConnectionLimits`. */
  readonly connections: number
  readonly pipelined: number
  /** How many bodies in small chunks are read at a time. */
  readonly costlyBodies: number
  /** See `BodyBounds`. */
  readonly overheadFactor: number
  /** How many pieces of a body are read after its request was refused. */
  readonly restPieces: number
}

/**
 * The file descriptors that callers may not hold, which are for endpoints, peers and the store: a share of what the process may open, and no
 * more than a number.
 */
const RESERVED_DESCRIPTOR_SHARE = 0.5
const MAX_RESERVED_DESCRIPTORS = 600

/**
 * Reads the bounds from the settings. Connections are also bounded by the file descriptors that the process may open.
 *
 * @example
 * const limits = callerLimitsOf(settings)
 */
export function callerLimitsOf (settings: Settings): CallerLimits {
  const number = (key: string): number => settings.number('callers', key)
  const descriptors = descriptorLimit()
  const reserved = Math.min(MAX_RESERVED_DESCRIPTORS, RESERVED_DESCRIPTOR_SHARE * descriptors)
  return {
    connections: Math.min(number('connections'), Math.floor(descriptors - reserved)),
    pipelined: number('pipelined-requests'),
    costlyBodies: number('costly-bodies'),
    overheadFactor: number('overhead-factor'),
    restPieces: number('rest-pieces')
  }
}
