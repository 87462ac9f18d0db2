/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Loads the program from a single bundled file with a code cache that the build wrote. Compiling the modules takes nearly half of the
 * processor time of a start, and many processes start at once after a loss of power.
 */
import { readFileSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { dirname } from 'node:path'
import { setFlagsFromString } from 'node:v8'
import { constants, Script } from 'node:vm'

/** How a bundle was loaded: with its code cache, without because there is none, or without because the engine rejected it. */
export type CodeCacheUse = 'used' | 'absent' | 'rejected'

type BundleFunction = (exports: object, require: NodeJS.Require, module: { exports: object }, fileName: string, directory: string) => void

/**
 * The code cache of a bundle for the options of this process. The engine rejects a cache that was written under other options, so each
 * set of options has its own.
 *
 * @example
 * codeCacheFile('target/drumdrift.cjs', ['--max-old-space-size=160']) // 'target/drumdrift.cjs.max-old-space-size=160.cache'
 */
export function codeCacheFile (bundle: string, options: readonly string[] = process.execArgv): string {
  const suffix = options.map(option => `.${option.replace(/^-+/, '').replaceAll(/[^\w=-]/g, '_')}`).join('')
  return `${bundle}${suffix}.cache`
}

/**
 * Compiles all functions of a bundle and writes the code cache for processes with the options of this one.
 *
 * @example
 * writeCodeCache('target/drumdrift.cjs')
 */
export function writeCodeCache (bundle: string): void {
  setFlagsFromString('--no-lazy')
  const script = compile(bundle, undefined)
  // The cache records the flags at this point; processes that read it compile lazily.
  setFlagsFromString('--lazy')
  writeFileSync(codeCacheFile(bundle), script.createCachedData())
}

/**
 * Runs a bundle as if it were the main module, with its code cache if that is there and matches.
 *
 * @example
 * if (runBundle('target/drumdrift.cjs') === 'rejected') console.error('the code cache is of another build')
 */
export function runBundle (bundle: string): CodeCacheUse {
  const cache = readCodeCache(bundle)
  const script = compile(bundle, cache)
  const module = { exports: {} }
  const run = script.runInThisContext() as BundleFunction
  run(module.exports, createRequire(bundle), module, bundle, dirname(bundle))
  if (cache === undefined) return 'absent'
  return script.cachedDataRejected === true ? 'rejected' : 'used'
}

function compile (bundle: string, cachedData: Buffer | undefined): Script {
  const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(bundle, 'utf8')}\n})`
  return new Script(source, { filename: bundle, cachedData, importModuleDynamically: constants.USE_MAIN_CONTEXT_DEFAULT_LOADER })
}

function readCodeCache (bundle: string): Buffer | undefined {
  try {
    return readFileSync(codeCacheFile(bundle))
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'ENOENT') return undefined
    throw error
  }
}
