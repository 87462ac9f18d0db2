/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { REPORT_LIFETIME, type LoadReport, type PeerReply, type NamedVersion } from '@drumdrift/core'
import { LoadPublisher } from '../../../lib/routing/load-publisher.js'
import type { PeerConnection, Responder } from '../../../lib/peer/connection.js'

const load: LoadReport = { running: 4, waiting: 0, unreadTokens: 0, version: 1, accepting: true, pace: 1 }

/** A fake follower that records the load reports that it is sent. */
class Follower implements Responder {
  readonly reports: LoadReport[] = []
  readonly call = 1
  private _onEnd: () => void = () => {}
  readonly connection = { onEnd: (listener: () => void) => { this._onEnd = listener } } as unknown as PeerConnection

  send (reply: PeerReply): void { if (reply.type === 'load') this.reports.push(reply.load) }
  disconnect (): void { this._onEnd() }
}

function createPublisher (): LoadPublisher { return new LoadPublisher(() => ({ readRate: 20, slots: 16 })) }

describe('LoadPublisher', () => {
  const cases: [name: string, reports: readonly (readonly [at: number, part: Partial<LoadReport>])[], sent: number][] = [
    ['sends the first report', [[0, {}]], 1],
    ['sends no report without a significant change', [[0, {}], [100, {}], [200, { running: 5 }]], 1],
    ['sends a significant change at once', [[0, {}], [100, { accepting: false }]], 2],
    ['sends a heartbeat before the last report expires even if nothing changes', [[0, {}], [REPORT_LIFETIME - 100, {}]], 2],
    ['sends every report of an engine that is getting busier', [[0, {}], [50, { running: 8 }], [100, { running: 12 }]], 3],
    ['sends a planned switch at once', [[0, {}], [50, { closesIn: 700 }]], 2]
  ]
  for (const [name, reports, sent] of cases) {
    it(name, () => {
      const publisher = createPublisher()
      const follower = new Follower()
      publisher.follow(follower, 0)
      for (const [at, part] of reports) publisher.publish({ ...load, ...part }, at)
      assert.equal(follower.reports.length, sent)
    })
  }

  /*
   * Guards against separate heartbeat messages to followers that ping: the agent of an idle engine sent 55 of them per second to 27
   * followers, besides 35 answers to pings, which was most of the work of idle agents and entries.
   */
  const named = { model: 'm', version: 2, age: 400 }
  const answers: [name: string, follows: boolean, age: number, type: PeerReply['type'], named?: NamedVersion][] = [
    ['sends the load with the answer to a ping', true, 80, 'load'],
    ['sends no stale load when the engine has stopped answering', true, 300, 'done'],
    ['sends no load to a connection that does not follow', false, 80, 'done'],
    ['sends the wanted version with the load', true, 80, 'load', named],
    ['sends the wanted version without a load', true, 300, 'done', named]
  ]
  for (const [name, follows, age, type, wanted] of answers) {
    it(name, () => {
      const publisher = createPublisher()
      const follower = new Follower()
      if (follows) publisher.follow(follower, 0)
      publisher.publish(load, 1_000)
      const replies: PeerReply[] = []
      publisher.answerPing({ connection: follower.connection, call: 2, send: reply => replies.push(reply) }, 1_000 + age, wanted)
      const version = wanted === undefined ? {} : { named: wanted }
      assert.deepEqual(replies, [type === 'load' ? { type, load: { ...load, sentRate: 0, entries: 0, age }, ...version } : { type, ...version }])
    })
  }

  it('does not send a report again after the answer to a ping', () => {
    const publisher = createPublisher()
    const follower = new Follower()
    publisher.follow(follower, 0)
    publisher.publish(load, 0)
    publisher.publish(load, 700)
    publisher.answerPing({ connection: follower.connection, call: 2, send: () => {} }, 700)
    publisher.publish(load, 1_000)
    assert.equal(follower.reports.length, 1)
  })

  it('sends the last report and the total request rate to a new follower', () => {
    const publisher = createPublisher()
    const [first, second] = [new Follower(), new Follower()]
    publisher.follow(first, 0)
    publisher.recordRate(first.connection, 0.02, 1, 0)
    publisher.publish(load, 0)
    publisher.follow(second, 10)
    assert.deepEqual(second.reports, [{ ...load, sentRate: 0.02, entries: 1 }])
    publisher.recordRate(second.connection, 0.03, 1, 20)
    first.disconnect()
    publisher.publish({ ...load, waiting: 1 }, 100)
    assert.deepEqual([first.reports.length, second.reports.at(-1)?.sentRate], [1, 0.03])
  })

  const rates: [name: string, firstPingAt: number, expected: number][] = [
    ['counts the rates of followers that pinged recently', 1_000, 0.05],
    ['does not count the rates of followers that have stopped pinging', 0, 0.03]
  ]
  for (const [name, firstPingAt, expected] of rates) {
    it(name, () => {
      const publisher = createPublisher()
      const [first, second] = [new Follower(), new Follower()]
      for (const follower of [first, second]) publisher.follow(follower, 0)
      publisher.recordRate(first.connection, 0.02, 1, firstPingAt)
      publisher.recordRate(second.connection, 0.03, 1, 2_000)
      publisher.publish(load, 2_500)
      assert.equal(second.reports.at(-1)?.sentRate, expected)
    })
  }

  it('divides the rate and the count of a follower by the number of engines that it follows', () => {
    const publisher = createPublisher()
    const followers = [new Follower(), new Follower()]
    for (const follower of followers) {
      publisher.follow(follower, 0)
      publisher.recordRate(follower.connection, 0.1, 20, 0)
    }
    publisher.publish(load, 0)
    assert.deepEqual([followers[1]?.reports.at(-1)?.sentRate, followers[1]?.reports.at(-1)?.entries], [0.01, 0.1])
  })

  it('ignores the rate of a connection that does not follow', () => {
    const publisher = createPublisher()
    publisher.recordRate(new Follower().connection, 9, 1, 0)
    const follower = new Follower()
    publisher.follow(follower, 0)
    publisher.publish(load, 0)
    assert.equal(follower.reports.at(-1)?.sentRate, 0)
  })
})
