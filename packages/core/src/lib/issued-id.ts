/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Request ids issued by the system. An issued id names its keepers, their incarnations and each keeper's own clock at
 * the time of issue. A keeper of the same incarnation has recorded every claim on the id, so it can confirm claims as
 * soon as it starts, and clocks need not be synchronised. This makes non-repeatable requests possible right after a cold
 * start, when no keeper has been listed long enough to confirm an id chosen by a caller.
 */

/** A keeper as named in an issued id. */
export interface IssuedKeeper {
  readonly instance: string
  readonly incarnation: string
  /** The keeper's own clock at the time of issue, in milliseconds. */
  readonly at: number
}

const PREFIX = 'issued1'
const PART_SEPARATOR = ','
const FIELD_SEPARATOR = '~'
const MAX_KEEPERS = 9

/**
 * Formats an issued id.
 *
 * @param random A unique part, made of letters and digits.
 * @example
 * formatIssuedId('k3x9', [{ instance: 'agent-1', incarnation: 'agent-1.ab12', at: 4711 }])
 */
export function formatIssuedId (random: string, keepers: readonly IssuedKeeper[]): string {
  const parts = keepers.map(({ instance, incarnation, at }) => [instance, incarnation.slice(instance.length + 1), Math.floor(at)].join(FIELD_SEPARATOR))
  return [PREFIX, random, ...parts].join(PART_SEPARATOR)
}

/**
 * Parses the keepers from an id. Returns `undefined` if the system did not issue the id.
 *
 * @example
 * parseIssuedId('issued1,k3x9,agent-1~ab12~4711')?.length // 1
 */
export function parseIssuedId (id: string): IssuedKeeper[] | undefined {
  const [prefix, random, ...parts] = id.split(PART_SEPARATOR)
  if (prefix !== PREFIX || random === undefined || random === '' || parts.length === 0 || parts.length > MAX_KEEPERS) return undefined
  const keepers: IssuedKeeper[] = []
  for (const part of parts) {
    const [instance = '', suffix = '', clock = ''] = part.split(FIELD_SEPARATOR)
    if (instance === '' || suffix === '' || !/^\d{1,15}$/.test(clock)) return undefined
    keepers.push({ instance, incarnation: `${instance}.${suffix}`, at: Number(clock) })
  }
  const names = new Set(keepers.map(keeper => keeper.instance))
  return names.size === keepers.length ? keepers : undefined
}
