/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The daemons that speak the product's own interface. They stand apart from what runs a daemon, so that a program for another
 * platform does not load them at its start.
 */
import { AgentProcess } from './agent/agent.js'
import { EntryProcess } from './entry/entry.js'
import type { DaemonMaker } from './run-daemon.js'

/** How each is made, by its role. */
export const ownDaemons: Record<'entry' | 'agent', DaemonMaker> = {
  entry: (settings, log) => new EntryProcess(settings, log),
  agent: (settings, log, stop) => new AgentProcess(settings, log, stop)
}
