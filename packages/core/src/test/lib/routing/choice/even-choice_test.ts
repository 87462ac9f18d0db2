/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { chooseEvenly, levelOf } from '../../../../lib/routing/choice/even-choice.js'

describe('levelOf', () => {
  const cases: [name: string, costs: readonly number[], requests: number, level: number][] = [
    ['one endpoint takes all', [100], 3, 220],
    ['the cheapest alone, while the next is dearer than one more', [100, 200], 1, 140],
    ['the next as soon as it costs the same', [100, 140], 3, 180],
    ['all alike', [100, 100], 2, 140],
    ['in any order', [300, 100, 180], 2, 180]
  ]
  for (const [name, costs, requests, level] of cases) it(name, () => assert.equal(levelOf({ costs, step: 40, requests }), level))
})

describe('chooseEvenly', () => {
  const cases: [name: string, costs: readonly number[], requests: number, draw: number, index: number][] = [
    ['the best one when nobody else sends', [200, 100, 110], 0, 0.99, 1],
    ['the best one when the next is far', [100, 200, 150], 1, 0.99, 0],
    ['the emptiest by the odds of its room', [100, 140], 3, 0.6, 0],
    ['the next by the odds of its room', [100, 140], 3, 0.7, 1],
    ['never one above the level', [100, 900, 140], 3, 0.999, 2],
    ['the last of equals', [100, 100, 100], 3, 0.99, 2]
  ]
  for (const [name, costs, requests, draw, index] of cases) it(name, () => assert.equal(chooseEvenly({ costs, step: 40, requests }, draw), index))
})
