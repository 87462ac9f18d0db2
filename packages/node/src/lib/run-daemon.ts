/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Starts a daemon and stops it in order: SIGTERM and SIGINT end what runs and take nothing new. A fault that nobody
 * caught is logged; it never ends the process, since what was going well should go on.
 */
import { AgentProcess } from './agent/agent.js'
import { EntryProcess } from './entry/entry.js'
import { Log, type LogLevel } from './observe/log.js'
import type { Role } from './settings/schema.js'
import type { Settings } from './settings/settings.js'

/** Exit code when an address cannot be listened on. */
const EXIT_NOT_STARTED = 3

/** A daemon as the runner sees it. */
interface Daemon {
  start (): Promise<void>
  stop (): Promise<number>
}

const daemons: Record<Role, (settings: Settings, log: Log, stop: () => void) => Daemon> = {
  entry: (settings, log) => new EntryProcess(settings, log),
  agent: (settings, log, stop) => new AgentProcess(settings, log, stop)
}

/**
 * Runs a daemon until it is told to stop.
 *
 * @example
 * await runDaemon(readSettings('agent.ini', 'agent'))
 */
export async function runDaemon (settings: Settings): Promise<void> {
  const { role } = settings
  const log = new Log(settings.text('process', 'log-level') as LogLevel, { role, instance: settings.text('process', 'instance') })
  process.on('uncaughtException', error => log.error('fault', { detail: error.message, at: error.stack?.split('\n')[1]?.trim() }))
  process.on('unhandledRejection', error => log.error('fault', { detail: error instanceof Error ? error.message : 'rejection', at: error instanceof Error ? error.stack?.split('\n')[1]?.trim() : undefined }))
  let stopping = false
  const stop = (): void => {
    if (stopping) return
    stopping = true
    daemon.stop().then(cut => process.exit(cut > 0 ? 1 : 0))
  }
  const daemon = daemons[role](settings, log, stop)
  try {
    await daemon.start()
  } catch (error) {
    log.error('start-failed', { detail: error instanceof Error ? error.message : 'unknown error' })
    process.exit(EXIT_NOT_STARTED)
  }
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
}
