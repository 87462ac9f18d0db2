/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * What tells that two requests are the same though their ids differ: who sent them, where to, and what they hold. Callers name each
 * attempt anew, so without it a request that ends every endpoint looks like as many requests as there were attempts.
 */
import { createHmac } from 'node:crypto'

/** What a fingerprint is made of. */
export interface FingerprintParts {
  /** Empty where callers have none. */
  readonly organisation: string
  readonly method: string
  /** With the query. */
  readonly path: string
  readonly body: Buffer
}

/** Characters of a fingerprint: 64 bits, so that among a million requests two differing ones meet once in 37 million such crowds. */
const CHARACTERS = 16

/**
 * The fingerprint of a request. It is keyed, since it is logged and told to other processes: without the key nobody can find out a
 * body by trying.
 *
 * @param key What the processes of a deployment share.
 * @example
 * const fingerprint = fingerprintOf('key', { method: 'POST', path: '/draft', body, organisation })
 */
export function fingerprintOf (key: string, { method, path, body, organisation }: FingerprintParts): string {
  const hash = createHmac('sha256', key)
  for (const text of [organisation, method, path]) hash.update(`${text.length} ${text} `)
  return hash.update(body).digest('hex').slice(0, CHARACTERS)
}
