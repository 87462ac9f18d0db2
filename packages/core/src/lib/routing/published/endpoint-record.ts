/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** The endpoint entry that a platform lists, and the keys under which state about an endpoint is kept. */

/** A model and one of its numbered versions. */
export interface ModelVersion {
  readonly model: string
  readonly version: number
}

/** The listed entry of one endpoint. */
export interface EndpointRecord {
  /** Identifies the endpoint. A restarted endpoint may keep its id. */
  readonly id: string
  /**
   * Start time by the endpoint's own clock, in milliseconds; `undefined` if it is not reported. It distinguishes restarts of the same
   * id and must not be compared with other clocks.
   */
  readonly born?: number | undefined
  /** Number of times that the endpoint has written its entry since it started; `undefined` if it is not reported. */
  readonly writings?: number | undefined
  readonly service: string
  readonly address: string
  readonly availabilityZone: string
  readonly slots: number
  /** Whether it accepts no new requests. */
  readonly draining: boolean
  /**
   * How long the endpoint stays cold, in milliseconds from the receipt of the record; 0 if it is not cold, `undefined` if it does not
   * say.
   */
  readonly coldRemaining?: number | undefined
  /** Versions that were loaded when the entry was written, which may be seconds ago. */
  readonly models: readonly ModelVersion[]
}

/**
 * Returns the key of one start of an endpoint. A restarted endpoint has lost its previous state, so state about it (load, health,
 * attempts) is kept under this key rather than under its id.
 *
 * @example
 * startKeyOf({ ...record, id: 'engine-7', born: 1_700_000_000_000 }) // 'engine-7@1700000000000'
 */
export function startKeyOf ({ id, born }: Pick<EndpointRecord, 'id' | 'born'>): string {
  return born === undefined ? id : `${id}@${born}`
}

/**
 * Returns the endpoint id that a start's key contains.
 *
 * @example
 * endpointIdOf('engine-7@1700000000000') // 'engine-7'
 */
export function endpointIdOf (start: string): string { return start.replace(/@\d+$/, '') }

/**
 * Whether one start time of an endpoint is earlier than another. Returns false if either is unknown.
 *
 * @example
 * if (isEarlierStart(record.born, held.born)) ignore(record)
 */
export function isEarlierStart (born: number | undefined, other: number | undefined): boolean {
  return born !== undefined && other !== undefined && born < other
}

/** A start of an endpoint, and how often it had written its entry, as far as they are known. */
export type LastWriting = Partial<Pick<EndpointRecord, 'born' | 'writings'>>

/**
 * Returns the number of writings from `earlier` to `later`, which is negative if their order is reversed. Returns `undefined` if they belong
 * to different starts of the endpoint or a count is missing.
 *
 * @example
 * const isEarlier = (writingsBetween(held.record, record) ?? 0) < 0
 */
export function writingsBetween (earlier: LastWriting, later: LastWriting): number | undefined {
  if (earlier.born !== later.born || earlier.writings === undefined || later.writings === undefined) return undefined
  return later.writings - earlier.writings
}

/**
 * Whether two records are equal except for their count of writings. Two writings that name a remaining cold time differ even if they
 * name the same one, because each counts from its receipt.
 *
 * @example
 * if (!isSameListing(held.record, record)) rebuildChoices()
 */
export function isSameListing (left: EndpointRecord, right: EndpointRecord): boolean {
  if ((right.coldRemaining ?? 0) > 0 && left.writings !== right.writings) return false
  return JSON.stringify({ ...left, writings: 0 }) === JSON.stringify({ ...right, writings: 0 })
}
