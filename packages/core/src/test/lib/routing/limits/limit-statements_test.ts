/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { isPlausibleLimit, LimitStatements, readLimitNews, type LimitStatement } from '../../../../lib/routing/limits/limit-statements.js'

const start = 'engine-7@1700'
const announced: LimitStatement = { limit: 1.1, askedAt: 100, heardAt: 200 }

/** The limit after some statements, each added when it is received. */
function limitAfter (...statements: LimitStatement[]): number | undefined {
  const book = new LimitStatements()
  for (const statement of statements) book.heard(start, statement, statement.heardAt)
  return book.limitOf(start, 10_000)
}

describe('LimitStatements', () => {
  const cases: [name: string, limit: number | undefined, expected: number | undefined][] = [
    ['no limit for an endpoint that announces none', limitAfter({ limit: undefined, askedAt: 0, heardAt: 10 }), undefined],
    ['the announced limit', limitAfter(announced), 1.1],
    ['a limit of 0', limitAfter({ ...announced, limit: 0 }), 0],
    ['a lower limit, whenever its request was sent', limitAfter(announced, { limit: 0.5, askedAt: 90, heardAt: 210 }), 0.5],
    ['a higher limit from a request sent after the limit was received', limitAfter(announced, { limit: 3, askedAt: 201, heardAt: 300 }), 3],
    ['the limit, if a higher one may have been announced before it', limitAfter(announced, { limit: 3, askedAt: 150, heardAt: 300 }), 1.1],
    ['no limit once the answer to a later request announces none', limitAfter(announced, { limit: undefined, askedAt: 201, heardAt: 300 }), undefined],
    ['the limit, if an answer without one may have been made before it', limitAfter(announced, { limit: undefined, askedAt: 150, heardAt: 900 }), 1.1],
    ['no limit after its end, if an older answer with it arrives late', limitAfter(announced, { limit: undefined, askedAt: 201, heardAt: 300 }, { limit: 1.1, askedAt: 120, heardAt: 200 }), undefined],
    ['a limit announced again after its end', limitAfter(announced, { limit: undefined, askedAt: 201, heardAt: 300 }, { limit: 2, askedAt: 301, heardAt: 400 }), 2]
  ]
  for (const [name, limit, expected] of cases) it(`holds ${name}`, () => assert.equal(limit, expected))

  it('shares limits and their end with other processes, as ages instead of times', () => {
    const [first, second] = [new LimitStatements(), new LimitStatements()]
    first.heard(start, announced, 200)
    assert.equal(second.told(first.known(700), 90_700).length, 1)
    assert.deepEqual([second.limitOf(start, 90_700), second.told(first.known(800), 90_800)], [1.1, []])
    first.heard(start, { limit: undefined, askedAt: 1_900, heardAt: 1_950 }, 1_950)
    second.told(first.known(2_000), 92_000)
    assert.equal(second.limitOf(start, 92_000), undefined)
  })

  it('is corrected by a process with a later statement', () => {
    const [first, second] = [new LimitStatements(), new LimitStatements()]
    first.heard(start, announced, 200)
    second.heard(start, announced, 200)
    second.heard(start, { limit: undefined, askedAt: 1_250, heardAt: 1_300 }, 1_300)
    first.told(second.corrections(first.known(1_400), 1_400), 1_400)
    assert.deepEqual([first.limitOf(start, 1_400), second.corrections(first.known(1_400), 1_400)], [undefined, []])
  })

  it('does not treat a statement forwarded many times as later than it is', () => {
    const books = Array.from({ length: 20 }, () => new LimitStatements())
    let now = 1_000
    books[0]?.heard(start, { limit: undefined, askedAt: 990, heardAt: 1_000 }, now)
    books[0]?.heard(start, { limit: 1.1, askedAt: 0, heardAt: 100 }, 100)
    books[0]?.heard(start, { limit: undefined, askedAt: 990, heardAt: 1_000 }, now)
    const later = new LimitStatements()
    later.heard(start, { limit: 2, askedAt: 1_100, heardAt: 1_150 }, 1_150)
    for (let hop = 1; hop < books.length; hop += 1) {
      now += 400
      books[hop]?.told(books[hop - 1]?.known(now - 400) ?? [], now)
    }
    later.told(books.at(-1)?.known(now) ?? [], now)
    assert.equal(later.limitOf(start, now), 2)
  })

  it('drops statements after ten minutes', () => {
    const book = new LimitStatements()
    book.heard(start, announced, 200)
    assert.deepEqual([book.limitOf(start, 700_000), book.known(700_000)], [undefined, []])
  })

  it('stores statements of a bounded number of endpoints', () => {
    const book = new LimitStatements()
    for (let index = 0; index < 2_000; index += 1) book.heard(`engine-${index}`, announced, 200)
    assert.equal(book.known(300).length, 1_024)
  })

  for (const limit of [-1, Number.NaN, Infinity, 1e9]) it(`rejects a limit of ${limit}`, () => assert.equal(isPlausibleLimit(limit), false))

  const report = { start, limit: 1.1, askedAge: 30, heardAge: 20 }
  const unreadable: [name: string, input: unknown][] = [
    ['a value that is not a list', { ...report }], ['an item that is not a report', ['engine-7']], ['an overlong endpoint name', [{ ...report, start: 'x'.repeat(201) }]], ['a limit that is not a number', [{ ...report, limit: 'few' }]],
    ['a negative limit', [{ ...report, limit: -1 }]], ['a negative age', [{ ...report, heardAge: -5 }]], ['an answer before its request', [{ ...report, askedAge: 10 }]],
    ['too many reports', Array.from({ length: 1_025 }, () => report)]
  ]
  for (const [name, input] of unreadable) it(`rejects ${name}`, () => assert.equal(readLimitNews(input), undefined))
  it('accepts reports with and without a limit', () => assert.deepEqual(readLimitNews([report, { ...report, limit: null }])?.length, 2))
})
