/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** An endpoint as its platform lists it, and the names by which what is known of it is kept. */

/** A model and one of its numbered versions. */
export interface ModelVersion {
  readonly model: string
  readonly version: number
}

/** What is listed of one endpoint. */
export interface EndpointRecord {
  /** Names the endpoint. It may start again under the same id. */
  readonly id: string
  /**
   * When it started, by its own clock, in milliseconds; nothing where that is not told. It tells the starts of one id apart and is
   * compared with nothing else.
   */
  readonly born?: number | undefined
  /** Counts what this start has written of itself; nothing where that is not told. */
  readonly writings?: number | undefined
  readonly service: string
  readonly address: string
  readonly availabilityZone: string
  readonly slots: number
  /** Whether it takes no new work. */
  readonly draining: boolean
  /** Versions that it had loaded when it wrote this; it may be seconds old. */
  readonly models: readonly ModelVersion[]
}

/**
 * Names one start of an endpoint. An endpoint that starts again holds and knows nothing of before, so whatever is learnt of one
 * (load, health, what was tried there) is kept by this and not by its id.
 *
 * @example
 * startOf({ ...record, id: 'engine-7', born: 1_700_000_000_000 }) // 'engine-7@1700000000000'
 */
export function startOf ({ id, born }: Pick<EndpointRecord, 'id' | 'born'>): string {
  return born === undefined ? id : `${id}@${born}`
}

/**
 * The id of the endpoint that a start is one of.
 *
 * @example
 * endpointOf('engine-7@1700000000000') // 'engine-7'
 */
export function endpointOf (start: string): string { return start.replace(/@\d+$/, '') }

/**
 * Whether something is told of an earlier start than another thing of the same endpoint. Without a time nothing can be said.
 *
 * @example
 * if (isEarlierStart(record.born, held.born)) ignore(record)
 */
export function isEarlierStart (born: number | undefined, than: number | undefined): boolean {
  return born !== undefined && than !== undefined && born < than
}

/** A start of an endpoint, and how often it had written; nothing where that is not known. */
export type LastWriting = Partial<Pick<EndpointRecord, 'born' | 'writings'>>

/**
 * How much later a start of an endpoint wrote one thing than another, in writings. Nothing can be said of different starts, or without
 * counts.
 *
 * @example
 * const isEarlier = (writingsBetween(held.record, record) ?? 0) < 0
 */
export function writingsBetween (one: LastWriting, other: LastWriting): number | undefined {
  if (one.born !== other.born || one.writings === undefined || other.writings === undefined) return undefined
  return other.writings - one.writings
}

/**
 * Whether two records say the same of an endpoint, however often it has written.
 *
 * @example
 * if (!isSameListing(held.record, record)) rebuildChoices()
 */
export function isSameListing (left: EndpointRecord, right: EndpointRecord): boolean {
  return JSON.stringify({ ...left, writings: 0 }) === JSON.stringify({ ...right, writings: 0 })
}
