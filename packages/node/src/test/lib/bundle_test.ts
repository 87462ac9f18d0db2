/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { codeCacheFile, runBundle, writeCodeCache } from '../../lib/bundle.js'

const source = "const { sep } = require('node:path'); globalThis.bundleRuns = (globalThis.bundleRuns ?? 0) + sep.length"
const runs = globalThis as { bundleRuns?: number }

describe('a bundle', () => {
  let directory: string
  let bundle: string

  beforeEach(() => {
    directory = mkdtempSync(join(tmpdir(), 'bundle-'))
    bundle = join(directory, 'drumdrift.cjs')
    writeFileSync(bundle, source)
    delete runs.bundleRuns
  })
  afterEach(() => { rmSync(directory, { recursive: true }) })

  // Guards against a start that compiles all modules again, and against one that fails over its cache.
  const cases: [name: string, prepare: () => void, expected: ReturnType<typeof runBundle>][] = [
    ['with its code cache', () => { writeCodeCache(bundle) }, 'used'],
    ['without a code cache', () => {}, 'absent'],
    ['without the code cache of another bundle', () => {
      writeCodeCache(bundle)
      writeFileSync(bundle, `${source} // changed`)
    }, 'rejected'],
    ['without a code cache that is not one', () => { writeFileSync(codeCacheFile(bundle), 'not a cache') }, 'rejected']
  ]
  for (const [name, prepare, expected] of cases) {
    it(`runs once ${name}`, () => {
      prepare()
      assert.deepEqual([runBundle(bundle), runs.bundleRuns], [expected, 1])
    })
  }

  const files: [options: string[], expected: string][] = [
    [[], 'a.cjs.cache'],
    [['--max-old-space-size=96'], 'a.cjs.max-old-space-size=96.cache'],
    [['--expose-gc', '-r', './x.js'], 'a.cjs.expose-gc.r.__x_js.cache']
  ]
  for (const [options, expected] of files) {
    it(`has a code cache of its own for the options "${options.join(' ')}"`, () => {
      assert.equal(codeCacheFile('a.cjs', options), expected)
    })
  }
})
