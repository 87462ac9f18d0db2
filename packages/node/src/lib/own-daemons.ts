/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The daemons that use the product's own protocols. They are in a module of their own, separate from the code that runs a
 * daemon, so that a program for another platform does not load them when it starts.
 */
import { AgentProcess } from './agent/agent.js'
import { EntryProcess } from './entry/entry.js'
import type { DaemonFactory } from './run-daemon.js'

/** The factories of the daemons by role. */
export const ownDaemonFactories: Record<'entry' | 'agent', DaemonFactory> = {
  entry: (settings, log) => new EntryProcess(settings, log),
  agent: (settings, log, stop) => new AgentProcess(settings, log, stop)
}
