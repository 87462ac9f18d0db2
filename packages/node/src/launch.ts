/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Starts the program from the bundle in the same directory. With the only argument `--write-code-cache`, writes the bundle's code cache
 * instead. Imports nothing but what it needs to find the cache, since it runs before anything is cached.
 */
import { dirname, join } from 'node:path'
import { runBundle, writeCodeCache } from './lib/bundle.js'

const bundle = join(dirname(process.argv[1] ?? ''), 'drumdrift.cjs')
if (process.argv[2] === '--write-code-cache') {
  writeCodeCache(bundle)
} else if (runBundle(bundle) === 'rejected') {
  process.stderr.write('level=warn event=code-cache-rejected detail="the code cache was written by another version or with other options"\n')
}
