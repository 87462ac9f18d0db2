/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The main job in one run: a model reaches every instance while a burst of requests is served, with faults on the way.
 * What the last line says is counted by the stand-ins and the callers.
 */
import { formatPairs } from 'drumdrift'
import { DemoRun } from './lib/demo-run.js'

const run = await DemoRun.prepare()
const summary = await run.play()
process.stdout.write(`${formatPairs({ event: 'demo', ...summary })}\n`)
process.exit(summary.result === 'pass' ? 0 : 1)
