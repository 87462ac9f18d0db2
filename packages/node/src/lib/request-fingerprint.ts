/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Fingerprints identify equal requests whose ids differ by their organisation, method, path and body. Callers use a new id for each
 * attempt; without fingerprints, a request that crashes every endpoint looks like as many different requests as it has attempts.
 */
import { createHmac, type Hmac } from 'node:crypto'

/** The parts of a request that determine its fingerprint. */
export interface FingerprintInput {
  /** Empty if callers have no organisation. */
  readonly organisation: string
  readonly method: string
  /** Includes the query. */
  readonly path: string
  readonly body: Buffer
}

/** Hexadecimal characters of a fingerprint. With these 64 bits, one in 37 million sets of a million different requests has a collision. */
const FINGERPRINT_CHARACTERS = 16

/**
 * Returns the fingerprint of a request. It is keyed, since it is logged and sent to other processes: without the key, nobody can find
 * out the body of a request by brute force.
 *
 * @param key The secret that the processes of a deployment share.
 * @example
 * const fingerprint = fingerprintOf('key', { method: 'POST', path: '/draft', body, organisation })
 */
export function fingerprintOf (key: string, { method, path, body, organisation }: FingerprintInput): string {
  return keyedHash(key, [organisation, method, path]).update(body).digest('hex').slice(0, FINGERPRINT_CHARACTERS)
}

/**
 * Returns the fingerprint of a value that consists of several texts, such as a property of requests.
 *
 * @param key The secret that the processes of a deployment share.
 * @example
 * const fingerprint = fingerprintOfValue('key', ['prompt-part', 'drafting', '5c1e07a2'])
 */
export function fingerprintOfValue (key: string, texts: readonly string[]): string {
  return keyedHash(key, texts).digest('hex').slice(0, FINGERPRINT_CHARACTERS)
}

/** Lengths make different lists of texts different inputs. */
function keyedHash (key: string, texts: readonly string[]): Hmac {
  const hash = createHmac('sha256', key)
  for (const text of texts) hash.update(`${text.length} ${text} `)
  return hash
}
