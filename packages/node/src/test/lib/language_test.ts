/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { parseCommand } from '../../lib/operator/language.js'

describe('parseCommand', () => {
  const validCommands: [text: string, command: object][] = [
    ['show agents', { type: 'show', what: 'agents', filters: [] }],
    ['  show  instances where zone = koshi and state=fetching ', { type: 'show', what: 'instances', filters: [{ field: 'zone', value: 'koshi' }, { field: 'state', value: 'fetching' }] }],
    ['rollout drafting to v2', { type: 'rollout', pool: 'drafting', version: 'v2' }],
    ['rollout drafting to v2 by 2026-12-24T05:30Z waves 25% copies 2', { type: 'rollout', pool: 'drafting', version: 'v2', neededBy: '2026-12-24T05:30Z', switchFraction: 0.25, originCopies: 2 }],
    ['drain agent-3', { type: 'leave', lifecycle: 'draining', instance: 'agent-3', incarnation: null, lasting: false }],
    ['drain agent-3 lasting', { type: 'leave', lifecycle: 'draining', instance: 'agent-3', incarnation: null, lasting: true }],
    ['stop agent-3 incarnation agent-3.ab12', { type: 'leave', lifecycle: 'stopped', instance: 'agent-3', incarnation: 'agent-3.ab12', lasting: false }],
    ['help', { type: 'help' }]
  ]
  for (const [text, command] of validCommands) it(`parses "${text.trim()}"`, () => assert.deepEqual(parseCommand(text), command))

  const invalidCommands: [text: string, position: number, nearby: string | undefined][] = [
    ['shwo agents', 1, 'show'],
    ['show agnets', 6, 'agents'],
    ['show agents were zone = x', 13, 'where'],
    ['show agents where colour = red', 19, undefined],
    ['rollout drafting too v2', 18, 'to'],
    ['rollout drafting to v2 by tomorrow', 27, undefined],
    ['', 1, undefined],
    ['drain', 6, undefined]
  ]
  for (const [text, position, nearby] of invalidCommands) {
    it(`reports the position of the error in "${text}"`, () => {
      const mistake = parseCommand(text)
      assert.ok(mistake.type === 'language-mistake')
      assert.equal(mistake.position, position, mistake.expected)
      assert.equal(mistake.nearby, nearby)
      assert.notEqual(mistake.expected, '')
    })
  }
})
