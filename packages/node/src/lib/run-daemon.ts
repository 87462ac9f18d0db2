/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Starts a daemon and shuts it down gracefully: on SIGTERM and SIGINT, it admits nothing new and running requests finish.
 * Uncaught errors are logged and never end the process, so that unaffected requests go on.
 */
import { watchFile, unwatchFile } from 'node:fs'
import { DrumdriftError } from '@drumdrift/core'
import { Log, type LogLevel } from './observe/log.js'
import { readSettings, type Settings } from './settings/settings.js'

/** Exit code if the daemon cannot start, for instance because it cannot listen at its address. */
const EXIT_START_FAILED = 3

/** How long the process waits at most for the last log lines to be written before it ends, in milliseconds. */
const FLUSH_TIMEOUT = 200

/** How often the settings file is checked for changes, in milliseconds. */
const SETTINGS_POLL_INTERVAL = 1_000

/** A process that can be started and stopped. */
export interface Daemon {
  start (): Promise<void>
  /** Drains and stops. Returns the number of requests that were cut off. */
  stop (): Promise<number>
}

/** Creates a daemon from validated settings. The daemon may call `stop` to stop itself. */
export type DaemonFactory = (settings: Settings, log: Log, stop: () => void) => Daemon

/**
 * Runs a daemon until it is stopped.
 *
 * @param file The settings file, which is read again on SIGHUP and when it changes; empty for never.
 * @example
 * await runDaemon(readSettings('agent.ini', 'agent'), ownDaemonFactories.agent)
 */
export async function runDaemon (settings: Settings, make: DaemonFactory, file = ''): Promise<void> {
  const { role } = settings
  const log = new Log(settings.text('process', 'log-level') as LogLevel, { role, instance: settings.text('process', 'instance') })
  process.on('uncaughtException', error => log.error('fault', { detail: error.message, at: error.stack?.split('\n')[1]?.trim() }))
  process.on('unhandledRejection', error => log.error('fault', { detail: error instanceof Error ? error.message : 'rejection', at: error instanceof Error ? error.stack?.split('\n')[1]?.trim() : undefined }))
  let stopping = false
  const stop = (): void => {
    if (stopping) return
    stopping = true
    daemon.stop().then(async cut => {
      await log.flush(FLUSH_TIMEOUT)
      process.exit(cut > 0 ? 1 : 0)
    })
  }
  const daemon = make(settings, log, stop)
  try {
    await daemon.start()
  } catch (error) {
    log.error('start-failed', { detail: error instanceof Error ? error.message : 'unknown error' })
    await log.flush(FLUSH_TIMEOUT)
    process.exit(EXIT_START_FAILED)
  }
  const reload = (): void => reloadSettings(settings, file, log)
  process.on('SIGHUP', reload)
  if (file !== '') watchFile(file, { interval: SETTINGS_POLL_INTERVAL, persistent: false }, reload)
  process.on('exit', () => unwatchFile(file))
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
}

/**
 * Reads a settings file again and applies it if it is valid. Otherwise, the current settings stay in force.
 *
 * @example
 * process.on('SIGHUP', () => reloadSettings(settings, file, log))
 */
export function reloadSettings (settings: Settings, file: string, log: Log): void {
  if (file === '') return
  try {
    const changed = settings.adopt(readSettings(file, settings.role))
    log.setLevel(settings.text('process', 'log-level') as LogLevel)
    log.info('settings-reloaded', { changed: changed.join(',') })
  } catch (error) {
    if (!(error instanceof DrumdriftError) || error.failure.type !== 'settings-failure') throw error
    const { section, key, expected } = error.failure
    log.error('settings-refused', { section, key, expected })
  }
}
