/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The `drumdrift` command.
 */
import { readFileSync } from 'node:fs'
import { Command } from 'commander'
import { formatPairs } from './observe/log.js'
import { requestHttp } from './platform/http-client.js'
import { runDaemon } from './run-daemon.js'
import { EXIT_WRONG_INPUT, orExit } from './settings/or-exit.js'
import { settingsPage } from './settings/page.js'
import { inferRole, readSettings } from './settings/settings.js'

/** The timeout of a query or an order, in milliseconds. */
const ASK_TIMEOUT = 10_000

/**
 * Builds the parser of the command and its subcommands.
 *
 * @example
 * await commandLine().parseAsync(process.argv)
 */
export function commandLine (): Command {
  const program = new Command('drumdrift').description('Weight distribution and request routing for bursts').version('0.1.0')
  for (const role of ['entry', 'agent'] as const) {
    program.command(role).description(`runs the ${role} daemon`).argument('<file>', 'settings file in INI format').action(async file => await start(file, role))
  }
  program.command('check').description('checks a settings file without starting').argument('<file>').action(check)
  program.command('settings').description('lists every setting with unit, default, range and meaning').action(() => { process.stdout.write(settingsPage()) })
  program.command('ask').description('sends a query or an order to an entry').argument('<text>', 'for instance "show agents where zone = bagmati"')
    .requiredOption('--entry <address>', 'an entry\'s HTTP address')
    .requiredOption('--key-file <file>', 'a file with the operator\'s key')
    .option('--format <form>', 'table, pairs or json', 'table')
    .action(ask)
  program.command('report').description('merges the histograms of entries into percentiles and a plot')
    .requiredOption('--entries <addresses>', 'HTTP addresses, separated by commas')
    .requiredOption('--key-file <file>', 'a file with the operator\'s key')
    .option('--plot <file>', 'writes an SVG plot')
    .action(async options => {
      const { report } = await import('./operator/report.js')
      await report(options)
    })
  program.command('watch').description('follows a rollout until every live agent of a pool serves the desired version')
    .argument('<pool>')
    .requiredOption('--entry <address>', 'an entry\'s HTTP address')
    .requiredOption('--key-file <file>', 'a file with the operator\'s key')
    .option('--seconds <number>', 'timeout in seconds', '600')
    .action(async (pool, options) => {
      const { watchRollout } = await import('./operator/watch.js')
      process.exitCode = await watchRollout(pool, options)
    })
  program.command('explain').description('explains from log files what happened to a request, and why')
    .argument('<id>', 'the caller\'s id of the attempt')
    .argument('<files...>', 'logs of entries and agents')
    .action(async (id, files) => {
      const { explainFiles } = await import('./operator/explain-files.js')
      process.exitCode = await explainFiles(id, files, text => { process.stdout.write(text) })
    })
  program.command('losses').description('counts from log files the requests that were not answered in time, by cause, entry and time interval')
    .argument('<files...>', 'logs of entries')
    .option('--span <seconds>', 'length of a time interval in seconds', '2')
    .action(async (files, options) => {
      const { lossesOfFiles } = await import('./operator/losses-files.js')
      process.exitCode = await lossesOfFiles(files, options.span, text => { process.stdout.write(text) })
    })
  return program
}

async function start (file: string, role: 'entry' | 'agent'): Promise<void> {
  const settings = orExit(() => readSettings(file, role))
  const { ownDaemonFactories } = await import('./own-daemons.js')
  await runDaemon(settings, ownDaemonFactories[role], file)
}

function check (file: string): void {
  const settings = orExit(() => readSettings(file, inferRole(file)))
  process.stdout.write(`${formatPairs({ event: 'settings-good', file, role: settings.role })}\n`)
}

async function ask (text: string, options: { entry: string, keyFile: string, format: string }): Promise<void> {
  const key = readFileSync(options.keyFile, 'utf8').trim()
  const path = `/operator/ask?format=${encodeURIComponent(options.format)}`
  try {
    const answer = await requestHttp(options.entry, { method: 'POST', path, body: text, headers: { authorization: `Bearer ${key}` }, timeout: ASK_TIMEOUT })
    process.stdout.write(answer.body.toString('utf8').replace(/\n?$/, '\n'))
    process.exitCode = answer.status === 200 ? 0 : answer.status === 400 ? EXIT_WRONG_INPUT : 1
  } catch (error) {
    process.stdout.write(`${formatPairs({ event: 'failed', detail: error instanceof Error ? error.message : 'no answer' })}\n`)
    process.exitCode = 1
  }
}
