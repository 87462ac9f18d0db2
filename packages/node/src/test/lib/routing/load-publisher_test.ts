/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { LoadReport, PeerReply } from '@drumdrift/core'
import { LoadPublisher } from '../../../lib/routing/load-publisher.js'
import type { PeerConnection, Responder } from '../../../lib/peer/connection.js'

const load: LoadReport = { running: 4, waiting: 0, unreadTokens: 0, version: 1, accepting: true, pace: 1 }

/** An entry that follows, as the publisher sees it. */
class Follower implements Responder {
  readonly told: LoadReport[] = []
  readonly call = 1
  private _onEnd: () => void = () => {}
  readonly connection = { onEnd: (listener: () => void) => { this._onEnd = listener } } as unknown as PeerConnection

  send (reply: PeerReply): void { if (reply.type === 'load') this.told.push(reply.load) }
  leave (): void { this._onEnd() }
}

function publisher (): LoadPublisher { return new LoadPublisher(() => ({ readRate: 20, slots: 16 })) }

describe('LoadPublisher', () => {
  const cases: [name: string, reports: readonly (readonly [at: number, part: Partial<LoadReport>])[], told: number][] = [
    ['tells the first report', [[0, {}]], 1],
    ['tells nothing that is no news', [[0, {}], [100, {}], [200, { running: 5 }]], 1],
    ['tells news at once', [[0, {}], [100, { accepting: false }]], 2],
    ['tells a sign of life though nothing changes', [[0, {}], [500, {}]], 2]
  ]
  for (const [name, reports, told] of cases) {
    it(name, () => {
      const made = publisher()
      const follower = new Follower()
      made.follow(follower)
      for (const [at, part] of reports) made.publish({ ...load, ...part }, at)
      assert.equal(follower.told.length, told)
    })
  }

  it('tells a new follower the last report, and how many follow', () => {
    const made = publisher()
    const [first, second] = [new Follower(), new Follower()]
    made.follow(first)
    made.publish(load, 0)
    made.follow(second)
    assert.deepEqual(second.told, [{ ...load, entries: 2 }])
    first.leave()
    made.publish({ ...load, waiting: 1 }, 100)
    assert.deepEqual([first.told.length, second.told.at(-1)?.entries], [1, 1])
  })
})
