/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Runs the demo: a model is rolled out to every instance while a burst of requests is served and faults are injected.
 * The figures in the last line are counted by the stand-ins and the callers.
 */
import { formatPairs } from 'drumdrift'
import { DemoRun } from './lib/demo-run.js'

const demo = await DemoRun.prepare()
const summary = await demo.run()
process.stdout.write(`${formatPairs({ event: 'demo', ...summary })}\n`)
process.exit(summary.result === 'pass' ? 0 : 1)
