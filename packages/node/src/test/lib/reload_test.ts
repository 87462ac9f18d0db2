/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, describe, it } from 'node:test'
import { BoundedOutput } from '../../lib/observe/bounded-output.js'
import { Log } from '../../lib/observe/log.js'
import { reloadSettings } from '../../lib/run-daemon.js'
import { readSettings } from '../../lib/settings/settings.js'

const folder = mkdtempSync(join(tmpdir(), 'drumdrift-'))
const file = join(folder, 'entry.ini')
const good = readFileSync(new URL('../../../../../examples/surtaal/entry.ini', import.meta.url), 'utf8')
after(() => rmSync(folder, { recursive: true }))

describe('reloadSettings', () => {
  const cases: [name: string, text: string, event: string, level: string][] = [
    ['applies a changed file', `${good}\n`.replace('[process]', '[process]\nlog-level = error'), 'settings-reloaded', 'error'],
    ['keeps the current settings if the file is invalid', good.replace('[process]', '[process]\nlog-level = loud'), 'settings-refused', 'info'],
    ['keeps the current settings if the file is empty', '', 'settings-refused', 'info']
  ]
  for (const [name, text, event, level] of cases) {
    it(name, () => {
      writeFileSync(file, good)
      const settings = readSettings(file, 'entry')
      let lines = ''
      const log = new Log('info', {}, new BoundedOutput(1, 100_000, (_descriptor, bytes) => { lines += bytes.toString('utf8') }))
      writeFileSync(file, text)
      reloadSettings(settings, file, log)
      assert.equal(settings.text('process', 'log-level'), level)
      if (level !== 'error') assert.match(lines, new RegExp(`event=${event}`))
    })
  }

  it('returns the names of the changed settings', () => {
    writeFileSync(file, good)
    const settings = readSettings(file, 'entry')
    writeFileSync(file, good.replace('[process]', '[process]\nstop-patience-seconds = 7'))
    assert.deepEqual(settings.adopt(readSettings(file, 'entry')), ['process.stop-patience-seconds'])
    assert.equal(settings.number('process', 'stop-patience-seconds'), 7)
  })
})
