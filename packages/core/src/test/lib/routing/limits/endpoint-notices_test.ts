/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EndpointLimits } from '../../../../lib/routing/limits/endpoint-limits.js'
import { EndpointNotices, type EndpointNotice, type NoticeChange } from '../../../../lib/routing/limits/endpoint-notices.js'

const start = 'engine-7@1700'
const emptyNotice: EndpointNotice = { limit: undefined, leaving: false, rest: undefined }

function createNotices (): EndpointNotices { return new EndpointNotices(new EndpointLimits(() => 6, () => 0.5)) }

/** The types of the changes caused by notices that arrive one second apart. */
function changes (...received: Partial<EndpointNotice>[]): NoticeChange['type'][] {
  const notices = createNotices()
  return received.flatMap((notice, second) => notices.heard(start, { ...emptyNotice, ...notice }, second * 1_000, second * 1_000 + 10).map(({ type }) => type))
}

describe('EndpointNotices', () => {
  const cases: [name: string, changed: NoticeChange['type'][], expected: NoticeChange['type'][]][] = [
    ['no change for empty notices', changes({}, {}), []],
    ['a limit only when it changes', changes({ limit: 1.1 }, { limit: 1.1 }, { limit: 2 }, {}), ['limit', 'limit', 'limit']],
    ['leaving only once', changes({ leaving: true }, { leaving: true }, {}), ['leaving']],
    ['a pause, and another one after its end', changes({ rest: 3_000 }, { rest: 3_000 }, {}, {}, {}, { rest: 500 }), ['resting', 'resting']],
    ['no end of a limit for an answer that the endpoint did not make', changes({ limit: 1.1 }, { limit: 'unsaid' }, { limit: 'unsaid' }), ['limit']],
    ['no pause of 0 milliseconds', changes({ rest: 0 }), []],
    ['all three at once', changes({ limit: 1.1, leaving: true, rest: 100 }), ['leaving', 'resting', 'limit']],
    ['implausible values as refused', changes({ limit: 'unreadable' }, { limit: 1e9 }, { rest: 'unreadable' }, { rest: -1 }), ['refused', 'refused', 'refused', 'refused']]
  ]
  for (const [name, changed, expected] of cases) it(`reports ${name}`, () => assert.deepEqual(changed, expected))

  const spared: [name: string, notice: Partial<EndpointNotice>, at: number, reason: string | undefined, opensIn: number][] = [
    ['an endpoint without restrictions', {}, 20, undefined, 0],
    ['a paused endpoint', { rest: 3_000 }, 1_010, 'resting', 2_000],
    ['an endpoint whose pause has ended', { rest: 3_000 }, 3_011, undefined, 0],
    ['a leaving endpoint, permanently', { leaving: true, rest: 3_000 }, 600_000, 'leaving', Infinity],
    ['a rate-limited endpoint without a permit', { limit: 1 }, 1_010, 'limited', 2_000],
    ['a rate-limited endpoint with a permit', { limit: 1 }, 3_200, undefined, 0],
    ['a paused endpoint with a permit', { limit: 1, rest: 5_000 }, 3_200, 'resting', 1_810]
  ]
  for (const [name, notice, at, reason, opensIn] of spared) {
    it(`returns the restriction of ${name}`, () => {
      const notices = createNotices()
      notices.heard(start, { ...emptyNotice, ...notice }, 0, 10)
      assert.deepEqual([notices.sparedFor(start, at), Math.round(notices.opensIn(start, at))], [reason, opensIn])
      assert.equal(notices.isDue(start, at), reason === undefined && notice.limit !== undefined)
    })
  }

  it('does not apply the notice of one incarnation of an endpoint to another', () => {
    const notices = createNotices()
    notices.heard(start, { limit: 0, leaving: true, rest: 9_000 }, 0, 10)
    assert.equal(notices.sparedFor('engine-7@1800', 20), undefined)
  })

  it('is quiet until an endpoint has a restriction', () => {
    const notices = createNotices()
    const before = notices.quiet
    notices.heard(start, { ...emptyNotice, rest: 100 }, 0, 10)
    assert.deepEqual([before, notices.quiet], [true, false])
  })

  it('sends requests to an overloaded endpoint only until the first notice of a pause arrives', () => {
    const notices = createNotices()
    let sent = 0
    for (let now = 0; now < 3_000; now += 5) {
      if (notices.sparedFor(start, now) !== undefined) continue
      sent += 1
      if (now >= 20) notices.heard(start, { ...emptyNotice, rest: 3_000 }, now - 20, now)
    }
    assert.equal(sent, 5)
  })

  it('stores a bounded number of leaving endpoints', () => {
    const notices = createNotices()
    for (let index = 0; index < 3_000; index += 1) notices.heard(`engine-${index}`, { ...emptyNotice, leaving: true }, 0, index)
    assert.deepEqual([notices.sparedFor('engine-0', 3_000), notices.sparedFor('engine-2999', 3_000)], [undefined, 'leaving'])
  })
})
