/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { EVACUATION_REWRITE_TIME } from '../../../../lib/routing/published/evacuations.js'
import type { PublishedChange } from '../../../../lib/routing/published/published-change.js'
import { PublishedState } from '../../../../lib/routing/published/published-state.js'

function began (revision: number, zone = 'koshi'): PublishedChange { return { type: 'evacuation', revision, zone } }
function ended (revision: number, zone = 'koshi'): PublishedChange { return { type: 'evacuation-ended', revision, zone } }
function zones (state: PublishedState): string { return [...state.evacuatedZones].sort().join(',') }

/** Returns a process that has read a snapshot at a revision. */
function newFollower (changes: readonly PublishedChange[] = [], upTo = 10): PublishedState {
  const state = new PublishedState()
  state.enterEpoch(1, 0)
  state.takeSnapshot('evacuations', changes, upTo, 0)
  return state
}

/** Applies the changes that a peer lacks. Returns the effective ones. */
function tell (from: PublishedState, to: PublishedState, now = 0): readonly PublishedChange[] { return to.takeDelta(from.deltaSince(to.note, now), now) }

describe('evacuations in PublishedState', () => {
  const orders: [name: string, changes: PublishedChange[], expected: string][] = [
    ['an evacuation', [began(11)], 'koshi'],
    ['its end', [began(11), ended(12)], ''],
    ['an end received before the beginning that it ends', [ended(12), began(11)], ''],
    ['a second evacuation', [began(11), ended(12), began(13)], 'koshi'],
    ['an older end after a second evacuation', [began(13), ended(12)], 'koshi'],
    ['evacuations of two zones', [began(11), began(12, 'bagmati'), ended(13)], 'bagmati'],
    ['a repeated key', [began(11), began(12)], 'koshi']
  ]
  for (const [name, changes, expected] of orders) {
    it(`applies ${name} by revision, not by order of receipt`, () => {
      const state = newFollower()
      for (const change of changes) state.take(change, 0)
      assert.equal(zones(state), expected)
    })
  }

  it('returns the beginning and the end as effective changes once', () => {
    const state = newFollower()
    const types = [began(11), began(12), ended(13), ended(14)].map(change => state.take(change, 0).length)
    assert.deepEqual(types, [1, 0, 1, 0])
  })

  // Guards against a removal that is lost because the history was lost, or the process was suspended or cut off, while it was made.
  it('ends an evacuation whose key a later snapshot lacks, and not one that began after the snapshot', () => {
    const state = newFollower([began(5), began(6, 'bagmati')])
    assert.deepEqual(state.takeSnapshot('evacuations', [began(6, 'bagmati')], 20, 0), [{ type: 'evacuation-ended', revision: 20, zone: 'koshi' }])
    state.take(began(25), 0)
    assert.deepEqual([state.takeSnapshot('evacuations', [], 22, 0).length, zones(state)], [1, 'koshi'])
  })

  it('does not begin an evacuation again that ended before the followed revision', () => {
    const state = newFollower([], 20)
    assert.deepEqual([state.take(began(15), 0), zones(state)], [[], ''])
  })

  describe('between peers', () => {
    it('sends a starting process all evacuations, and each later change', () => {
      const [sender, receiver] = [newFollower([began(5)]), new PublishedState()]
      assert.equal(receiver.hasFollowed('evacuations'), false)
      tell(sender, receiver)
      assert.deepEqual([zones(receiver), receiver.hasFollowed('evacuations'), receiver.held], ['koshi', true, sender.held])
      sender.take(began(11, 'bagmati'), 0)
      sender.take(ended(12), 0)
      sender.followed('evacuations', 12)
      tell(sender, receiver)
      assert.deepEqual([zones(receiver), receiver.held], ['bagmati', sender.held])
    })

    // Guards against endpoints that just came back counting as warm at a process that was cut off or that starts.
    it('sends when an evacuation ended, also to a process that did not know it', () => {
      const sender = newFollower([began(5)])
      sender.take(ended(11), 1_000)
      sender.followed('evacuations', 11)
      const receiver = new PublishedState()
      const delta = sender.deltaSince(receiver.note, 1_300)
      const changes = receiver.takeDelta(delta, 9_000, { requestedAt: 8_990, encodedFor: 200 })
      assert.deepEqual(changes, [{ type: 'evacuation-ended', revision: 11, zone: 'koshi', age: 500 }])
      assert.deepEqual(receiver.deltaSince(new PublishedState().note, 9_100).changes, [{ type: 'evacuation-ended', revision: 11, zone: 'koshi', age: 600 }])
    })

    it('does not revive an evacuation at a peer that is ahead', () => {
      const [behind, ahead] = [newFollower([began(5)]), newFollower([began(5)])]
      ahead.take(ended(11), 0)
      ahead.followed('evacuations', 11)
      assert.deepEqual([tell(behind, ahead), zones(ahead)], [[], ''])
    })

    it('exchanges configurations with a process that knows no evacuations', () => {
      const state = newFollower([began(5)])
      const { evacuations: _unknown, ...note } = new PublishedState().note
      assert.deepEqual(state.deltaSince(note, 0, ['configuration', 'versions', 'endpoints']).changes, [])
      assert.equal(state.deltaSince(note, 0).changes.length, 1)
    })
  })

  describe('when the store is restored from an older copy', () => {
    /** A process that knows an evacuation of koshi, and reads a restored store at revision 4. */
    function restored (items: readonly PublishedChange[]): PublishedState {
      const state = newFollower([began(5)])
      state.enterEpoch(2, 1_000)
      state.takeSnapshot('evacuations', items, 4, 1_000)
      return state
    }

    /** Ends what has lapsed at a time until which the process has received every change. */
    function expireAt (state: PublishedState, now: number): void {
      state.evacuationsCompleteAt(now)
      state.expire(now)
    }

    const cases: [name: string, items: PublishedChange[], later: PublishedChange[], before: string, after: string][] = [
      ['keeps an evacuation that the copy lacks until it must have been written again', [], [], 'koshi', ''],
      ['keeps an evacuation that was written again', [], [began(6)], 'koshi', 'koshi'],
      ['ends an evacuation whose key was removed again', [], [began(6), ended(7)], '', ''],
      ['ends an evacuation that is removed before it was written again', [], [ended(6)], '', ''],
      ['keeps an evacuation that the copy has', [began(3)], [], 'koshi', 'koshi'],
      ['begins an evacuation that only the copy has', [began(3, 'bagmati')], [], 'bagmati,koshi', 'bagmati']
    ]
    for (const [name, items, later, before, after] of cases) {
      it(name, () => {
        const state = restored(items)
        for (const change of later) state.take(change, 1_100)
        expireAt(state, 1_000 + EVACUATION_REWRITE_TIME - 1)
        assert.equal(zones(state), before)
        expireAt(state, 1_000 + EVACUATION_REWRITE_TIME)
        assert.equal(zones(state), after)
      })
    }

    it('begins an evacuation again that had ended, because the restored store has its key', () => {
      const state = newFollower([began(5)])
      state.take(ended(11), 0)
      state.enterEpoch(2, 1_000)
      assert.deepEqual([state.takeSnapshot('evacuations', [began(5)], 6, 1_000).length, zones(state)], [1, 'koshi'])
    })

    // Guards against an evacuation that a cut-off process drops although the operators have written its key again.
    it('keeps an evacuation that the copy lacks at a process that does not follow the store any more', () => {
      const state = restored([])
      state.evacuationsCompleteAt(1_000 + EVACUATION_REWRITE_TIME - 1)
      assert.deepEqual(state.expire(60_000), [])
      assert.equal(zones(state), 'koshi')
    })

    it('returns the end of an evacuation that the copy lacks as an effective change', () => {
      const state = restored([])
      state.evacuationsCompleteAt(60_000)
      assert.deepEqual(state.expire(60_000), [{ type: 'evacuation-ended', revision: 4, zone: 'koshi' }])
    })

    // Guards against an evacuation that never ends at a process: it had read the key in the restored store, and its relay, which read the
    // store only after the key was removed, still held the evacuation from the earlier epoch.
    it('ends an evacuation whose key a peer did not find in the restored store, though the peer still holds it from before', () => {
      const [follower, relay] = [restored([began(3)]), restored([])]
      relay.followed('evacuations', 6)
      assert.deepEqual([tell(relay, follower, 1_200).map(({ type }) => type), zones(follower)], [['evacuation-ended'], ''])
    })

    it('tells a starting process of an evacuation that the copy lacks, for as long as it may be written again', () => {
      const receiver = new PublishedState()
      tell(restored([]), receiver, 1_200)
      assert.equal(zones(receiver), 'koshi')
      expireAt(receiver, 1_200 + EVACUATION_REWRITE_TIME)
      assert.equal(zones(receiver), '')
    })
  })
})
