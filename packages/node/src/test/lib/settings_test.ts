/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { readFileSync, readdirSync } from 'node:fs'
import { describe, it } from 'node:test'
import { DrumdriftError } from '@drumdrift/core'
import { settingsPage } from '../../lib/settings/page.js'
import { settingSpecifications } from '../../lib/settings/schema.js'
import { checkSettings, inferRole, readSettings } from '../../lib/settings/settings.js'

const root = new URL('../../../../../', import.meta.url)
const validFile = `
[process]
instance = agent-1
availability-zone = koshi
address = 10.0.0.7:7400
[platform]
availability-zones = bagmati, gandaki, koshi
source = surtaal
configuration = 10.0.0.1:8500
instances = 10.0.0.1:8501
store = 10.0.0.2:8600
origin = 10.0.0.3:8600
[peers]
key = secret
[endpoint]
name = drafting
kind = model
address = 127.0.0.1:9000
`

describe('checkSettings', () => {
  it('accepts a valid file and fills in defaults', () => {
    const settings = checkSettings(validFile, 'agent.ini', 'agent')
    assert.equal(settings.text('process', 'instance'), 'agent-1')
    assert.equal(settings.number('weights', 'window'), 32)
    assert.deepEqual(settings.list('platform', 'availability-zones'), ['bagmati', 'gandaki', 'koshi'])
  })

  const invalidFiles: [name: string, change: (text: string) => string, section: string, key: string, expected: RegExp][] = [
    ['an unknown key', text => `${text}colour = red\n`, 'endpoint', 'colour', /one of the keys name/],
    ['an unknown section', text => `${text}[paint]\ncolour = red\n`, 'paint', 'colour', /one of the sections/],
    ['a duplicate key', text => `${text}name = other\n`, 'endpoint', 'name', /only once/],
    ['a duplicate section', text => `${text}[process]\n`, 'process', '', /only once/],
    ['a missing key', text => text.replace('source = surtaal', ''), 'platform', 'source', /to be given/],
    ['a unit in a number', text => `${text}[weights]\nwindow = 12MB\n`, 'weights', 'window', /without a unit/],
    ['a number out of range', text => `${text}[weights]\nwindow = 0\n`, 'weights', 'window', /from 1 to 256/],
    ['a negative size', text => `${text}[weights]\nmemory-megabytes = -4\n`, 'weights', 'memory-megabytes', /from 1/],
    ['a host name', text => text.replace('10.0.0.7:7400', 'host:7400'), 'process', 'address', /IP number/],
    ['an address without a port', text => text.replace('10.0.0.7:7400', '10.0.0.7'), 'process', 'address', /IP number/],
    ['an unknown zone', text => text.replace('availability-zone = koshi', 'availability-zone = kosi'), 'process', 'availability-zone', /bagmati, gandaki, koshi/],
    ['an invalid choice', text => text.replace('kind = model', 'kind = plane'), 'endpoint', 'kind', /model, plain/],
    ['a key outside a section', text => `lonely = 1\n${text}`, '', 'lonely', /in a section/],
    ['a key of another role', text => `${text}[requests]\nqueue-seconds = 1\n`, 'requests', 'queue-seconds', /role agent/]
  ]
  for (const [name, change, section, key, expected] of invalidFiles) {
    it(`refuses ${name}`, () => {
      assert.throws(() => checkSettings(change(validFile), 'agent.ini', 'agent'), (error: unknown) => {
        assert.ok(error instanceof DrumdriftError && error.failure.type === 'settings-failure')
        const { failure } = error
        assert.deepEqual([failure.file, failure.section, failure.key], ['agent.ini', section, key])
        assert.match(failure.expected, expected)
        return true
      })
    })
  }
})

describe('settings page and example files', () => {
  it('docs/SETTINGS.md matches the schema', () => {
    assert.equal(readFileSync(new URL('docs/SETTINGS.md', root), 'utf8'), settingsPage())
  })
  it('every setting has a description', () => {
    for (const specification of settingSpecifications) assert.match(specification.meaning, /^[A-Z].*\.$/, specification.key)
  })
  for (const deployment of ['surtaal', 'lilam']) {
    it(`the example files of ${deployment} are valid`, () => {
      const folder = new URL(`examples/${deployment}/`, root)
      const files = readdirSync(folder).filter(name => name.endsWith('.ini'))
      assert.ok(files.length >= 3)
      for (const file of files) {
        const path = new URL(file, folder).pathname
        readSettings(path, inferRole(path))
      }
    })
  }
})
