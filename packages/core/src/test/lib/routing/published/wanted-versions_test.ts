/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { WantedVersions, type PublicationSpan } from '../../../../lib/routing/published/wanted-versions.js'

const BOUND = 8_000
const model = 'm'

/** A version that the store or a peer has, a cut-off, or the last complete view, in the order of receipt. */
type Step =
  | readonly [source: 'store' | 'peer', version: number, earliest: number, latest: number]
  | readonly [what: 'cut-off' | 'complete', until: number]

function versionsAfter (steps: readonly Step[]): WantedVersions {
  const versions = new WantedVersions()
  for (const step of steps) handlers[step[0]](versions, step)
  return versions
}

function spanOf ([, , earliest = 0, latest = 0]: Step): PublicationSpan { return { earliest, latest } }

const handlers: Record<Step[0], (versions: WantedVersions, step: Step) => void> = {
  store: (versions, step) => { versions.add({ model, version: step[1] }, step[1], spanOf(step)) },
  peer: (versions, step) => { versions.addFromPeer({ model, version: step[1] }, step[1], spanOf(step)) },
  'cut-off': (versions, step) => versions.cutOff(step[1]),
  complete: (versions, step) => versions.completeAt(step[1])
}

describe('WantedVersions', () => {
  const cases: [name: string, steps: Step[], newerThanFirst: number | undefined][] = [
    ['from the earliest possible publication', [['store', 2, 700, 1_000]], 700],
    ['from nothing while nothing is known about the publication', [['store', 2, -Infinity, 1_000]], undefined],
    ['from what a peer knows better', [['store', 2, 200, 1_000], ['peer', 2, 700, 900]], 700],
    ['from what this process knows better than a peer', [['store', 2, 700, 1_000], ['peer', 2, 200, 1_100]], 700],
    ['no later than some process received it', [['store', 2, 980, 1_000], ['peer', 2, 300, 400]], 400],
    ['from the publication, not from when it was written again', [['store', 2, 700, 1_000], ['store', 2, 5_000, 5_100]], 700],
    ['from what the store shows when it is first seen there', [['peer', 2, -Infinity, 1_000], ['store', 2, 700, 1_100]], 700],
    ['from an older version that only a peer has', [['store', 3, 2_900, 3_000], ['peer', 2, 900, 1_000]], 900],
    ['from an older version that was published before the newest at the latest', [['store', 3, 2_900, 3_000], ['peer', 2, 4_900, 5_000]], 3_000],
    ['from the older version if the publication of the newest is unknown', [['store', 2, 900, 1_000], ['store', 3, -Infinity, 3_000]], 900],
    ['from the last time at which it was known to be unpublished', [['complete', 600], ['peer', 2, -Infinity, 1_000]], 600],
    ['from the end of a partition that it was published in', [['cut-off', 4_000], ['peer', 2, 900, 1_000]], 4_000],
    ['from the end of a partition, if it was first received later', [['cut-off', 4_000], ['store', 2, 900, 4_200]], 4_000],
    ['from the publication, if a partition came later', [['store', 2, 900, 1_000], ['cut-off', 4_000], ['peer', 2, 900, 1_000]], 900]
  ]
  for (const [name, steps, newerThanFirst] of cases) {
    it(`counts the deadline of older versions ${name}`, () => {
      assert.equal(versionsAfter(steps).firstNewerAt(model, 1), newerThanFirst)
    })
  }

  const deadlines: [name: string, steps: Step[], now: number, due: number][] = [
    ['is not due before the bound', [['store', 2, 700, 1_000]], 8_699, 0],
    ['is due at the bound from its earliest publication', [['store', 2, 700, 1_000]], 8_700, 2],
    ['is due at once if its publication is unknown', [['store', 2, -Infinity, 1_000]], 1_000, 2],
    ['is due by its own deadline although a newer one follows', [['store', 2, 700, 1_000], ['store', 3, 2_700, 3_000]], 8_700, 2]
  ]
  for (const [name, steps, now, due] of deadlines) {
    it(`a version ${name}`, () => {
      assert.equal(versionsAfter(steps).dueVersion(model, BOUND, now), due)
    })
  }

  it('tells new versions and corrected spans from what it knows', () => {
    const versions = versionsAfter([['store', 2, 500, 1_000]])
    const receipts = [
      versions.addFromPeer({ model, version: 2 }, 2, { earliest: 505, latest: 1_000 }),
      versions.addFromPeer({ model, version: 2 }, 2, { earliest: 900, latest: 1_000 }),
      versions.addFromPeer({ model, version: 1 }, 1, { earliest: 100, latest: 200 }),
      versions.addFromPeer({ model, version: 3 }, 3, { earliest: 2_000, latest: 2_100 })
    ]
    assert.deepEqual([receipts, versions.hasUndated], [['known', 'dated', 'dated', 'newest'], false])
  })
})
