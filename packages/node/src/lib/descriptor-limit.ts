/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import { existsSync, readFileSync } from 'node:fs'

const LIMITS_FILE = '/proc/self/limits'
let limit: number | undefined

/**
 * Returns the number of file descriptors that this process may open; infinite on systems that do not tell.
 *
 * @example
 * const connections = Math.min(3_500, descriptorLimit() / 2)
 */
export function descriptorLimit (): number {
  limit ??= readLimit()
  return limit
}

function readLimit (): number {
  if (!existsSync(LIMITS_FILE)) return Infinity
  const [, count] = /^Max open files\s+(\d+)/m.exec(readFileSync(LIMITS_FILE, 'utf8')) ?? []
  return count === undefined ? Infinity : Number(count)
}
