/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { AnswerStream } from '../../lib/answer-stream.js'

type Step = number | 'end 3' | 'end 2'

function runSteps (steps: readonly Step[]): { text: string, whole: boolean, broken: boolean } {
  const stream = new AnswerStream<string>()
  let text = ''
  let broken = false
  for (const step of steps) {
    const progress = typeof step === 'number' ? stream.part({ sequence: step, data: 'abcdef'[step] ?? '?' }) : stream.end(Number(step.slice(4)))
    if (progress.type === 'parts') text += progress.data.join('')
    else broken = true
  }
  return { text, whole: stream.whole, broken }
}

describe('AnswerStream', () => {
  const cases: [name: string, steps: Step[], text: string, whole: boolean, broken: boolean][] = [
    ['delivers parts received in order', [0, 1, 2, 'end 3'], 'abc', true, false],
    ['reorders parts received out of order', [2, 'end 3', 0, 1], 'abc', true, false],
    ['ignores duplicate parts', [0, 0, 1, 1, 2, 0, 'end 3'], 'abc', true, false],
    ['is incomplete without the end', [0, 1, 2], 'abc', false, false],
    ['is incomplete with a gap', [0, 2, 'end 3'], 'a', false, false],
    ['rejects an end with too small a count', [0, 1, 2, 'end 2'], 'abc', false, true],
    ['rejects two ends with different counts', [0, 1, 'end 2', 'end 3'], 'ab', true, true],
    ['rejects a part beyond the end', ['end 2', 5], '', false, true],
    ['rejects a part too far ahead', [5000], '', false, true]
  ]
  for (const [name, steps, text, whole, broken] of cases) {
    it(name, () => assert.deepEqual(runSteps(steps), { text, whole, broken }))
  }
})
