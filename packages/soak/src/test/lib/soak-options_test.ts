/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { DrumdriftError } from '@drumdrift/core'
import { checkOptions, type SoakOptions } from '../../lib/soak-options.js'

const given = { seed: '7', minutes: '0.5', processes: '6', rate: '60', pause: '1500', faults: 'usual, crowds' }

describe('checkOptions', () => {
  it('accepts values in range', () => { assert.deepEqual(checkOptions(given), { seed: 7, minutes: 0.5, processes: 6, rate: 60, pause: 1500, faults: ['usual', 'crowds'] }) })

  const wrong: [key: keyof SoakOptions, text: string][] = [['seed', '1.5'], ['seed', '-1'], ['seed', 'seven'], ['minutes', '0'], ['minutes', ''], ['processes', '1'], ['processes', '301'], ['rate', 'NaN'], ['pause', '1'], ['faults', 'some'], ['faults', 'usual,some'], ['faults', '']]
  for (const [key, text] of wrong) {
    it(`rejects "${text}" for ${key} with a failure that names the key`, () => {
      assert.throws(() => checkOptions({ ...given, [key]: text }), error => error instanceof DrumdriftError && error.failure.type === 'settings-failure' && error.failure.key === key)
    })
  }
})
