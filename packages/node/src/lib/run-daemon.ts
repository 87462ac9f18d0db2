/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Starts a daemon and stops it in order: SIGTERM and SIGINT end what runs and take nothing new. A fault that nobody
 * caught is logged; it never ends the process, since what was going well should go on.
 */
import { watchFile, unwatchFile } from 'node:fs'
import { DrumdriftError } from '@drumdrift/core'
import { Log, type LogLevel } from './observe/log.js'
import { readSettings, type Settings } from './settings/settings.js'

/** Exit code when an address cannot be listened on. */
const EXIT_NOT_STARTED = 3

/** The last lines get so long to be written before the process ends, in milliseconds. */
const FLUSH_PATIENCE = 200

/** A settings file that changes without a signal is noticed within this, in milliseconds. */
const SETTINGS_PAUSE = 1_000

/** A daemon as the runner sees it. */
export interface Daemon {
  start (): Promise<void>
  /** Stops in order. Returns the number of requests that were cut off. */
  stop (): Promise<number>
}

/** Makes a daemon from checked settings. The last argument lets the daemon ask to be stopped. */
export type DaemonMaker = (settings: Settings, log: Log, stop: () => void) => Daemon

/**
 * Runs a daemon until it is told to stop.
 *
 * @param file Where the settings came from: read again on SIGHUP and when it changes; empty for never.
 * @example
 * await runDaemon(readSettings('agent.ini', 'agent'), ownDaemons.agent)
 */
export async function runDaemon (settings: Settings, make: DaemonMaker, file = ''): Promise<void> {
  const { role } = settings
  const log = new Log(settings.text('process', 'log-level') as LogLevel, { role, instance: settings.text('process', 'instance') })
  process.on('uncaughtException', error => log.error('fault', { detail: error.message, at: error.stack?.split('\n')[1]?.trim() }))
  process.on('unhandledRejection', error => log.error('fault', { detail: error instanceof Error ? error.message : 'rejection', at: error instanceof Error ? error.stack?.split('\n')[1]?.trim() : undefined }))
  let stopping = false
  const stop = (): void => {
    if (stopping) return
    stopping = true
    daemon.stop().then(async cut => {
      await log.flush(FLUSH_PATIENCE)
      process.exit(cut > 0 ? 1 : 0)
    })
  }
  const daemon = make(settings, log, stop)
  try {
    await daemon.start()
  } catch (error) {
    log.error('start-failed', { detail: error instanceof Error ? error.message : 'unknown error' })
    await log.flush(FLUSH_PATIENCE)
    process.exit(EXIT_NOT_STARTED)
  }
  const reload = (): void => reloadSettings(settings, file, log)
  process.on('SIGHUP', reload)
  if (file !== '') watchFile(file, { interval: SETTINGS_PAUSE, persistent: false }, reload)
  process.on('exit', () => unwatchFile(file))
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
}

/**
 * Reads a settings file again and takes it if it is right; if not, what is in force stays.
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
