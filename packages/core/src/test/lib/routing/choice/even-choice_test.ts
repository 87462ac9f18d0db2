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
    ['a single endpoint takes all requests', [100], 3, 220],
    ['only the cheapest is filled while the next costs more than one more request there', [100, 200], 1, 140],
    ['the next is filled once both cost the same', [100, 140], 3, 180],
    ['equal endpoints share the requests', [100, 100], 2, 140],
    ['the order of costs does not matter', [300, 100, 180], 2, 180]
  ]
  for (const [name, costs, requests, level] of cases) it(name, () => assert.equal(levelOf({ costs, step: 40, requests }), level))
})

describe('chooseEvenly', () => {
  const cases: [name: string, costs: readonly number[], requests: number, draw: number, index: number][] = [
    ['picks the cheapest if no other chooser sends requests', [200, 100, 110], 0, 0.99, 1],
    ['picks the cheapest if the next is much more expensive', [100, 200, 150], 1, 0.99, 0],
    ['weights the cheapest by its distance below the level', [100, 140], 3, 0.6, 0],
    ['weights the next by its distance below the level', [100, 140], 3, 0.7, 1],
    ['never picks an endpoint above the level', [100, 900, 140], 3, 0.999, 2],
    ['can pick the last of equal endpoints', [100, 100, 100], 3, 0.99, 2]
  ]
  for (const [name, costs, requests, draw, index] of cases) it(name, () => assert.equal(chooseEvenly({ costs, step: 40, requests }, draw), index))
})
