/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import type { ChunkMember } from '../../../../lib/chunk-tree.js'
import { directInstances, directShare, switchCohort, type CohortView } from '../../../../lib/routing/weights/switch-cohort.js'

const policy = { bound: 9_700, lead: 400, transferTime: 5_000 }
const members: ChunkMember[] = ['koshi', 'bagmati'].flatMap(zone => Array.from({ length: 10 }, (_, index) => ({ instance: `${zone}-${index}`, availabilityZone: zone })))
const [older, newer] = [{ version: 2, at: 0 }, { version: 3, at: 3_000 }]
const direct = directInstances(members, 'm', older, newer, policy)
const koshi = members.slice(0, 10)
const [directMember, stepwiseMember] = [true, false].map(isDirect => koshi.find(({ instance }) => direct.has(instance) === isDirect)) as [ChunkMember, ChunkMember]

describe('directShare', () => {
  const cases: [name: string, newerAt: number, bound: number, expected: number][] = [
    ['is 1 for versions published at the same time', 0, 9_700, 1],
    ['is the share of the remaining time', 2_150, 9_700, 0.5],
    ['is 0 if the newer version cannot be complete before the deadline', 5_000, 9_700, 0],
    ['is 0 if no version can be complete before the deadline', 1_000, 5_000, 0]
  ]
  for (const [name, newerAt, bound, expected] of cases) it(name, () => assert.equal(directShare(0, newerAt, { ...policy, bound }), expected))
})

describe('directInstances', () => {
  it('selects the same share of each zone', () => {
    for (const zone of ['koshi', 'bagmati']) assert.equal([...direct].filter(instance => instance.startsWith(zone)).length, 3)
  })

  // Agents that receive the list in another order would otherwise disagree about the cohorts.
  it('does not depend on the order of members', () => {
    assert.deepEqual([...directInstances([...members].reverse(), 'm', older, newer, policy)].sort(), [...direct].sort())
  })
})

describe('switchCohort', () => {
  const both = [older, newer]
  const cases: [name: string, self: ChunkMember, view: CohortView, expected: [size: number, earliestAt: number, latestAt: number | undefined]][] = [
    ['is the whole zone for a single version', stepwiseMember, { target: 2, served: 1, published: [older] }, [10, -Infinity, undefined]],
    ['is the whole zone for an unknown version', stepwiseMember, { target: 4, served: 1, published: both }, [10, -Infinity, undefined]],
    ['ends for the older version when the newer one arrives', stepwiseMember, { target: 2, served: 1, published: both }, [7, -Infinity, 8_000]],
    ['consists of the direct engines for the newer version before the first deadline', directMember, { target: 3, served: 1, published: both }, [3, -Infinity, undefined]],
    ['is the whole zone for a stepwise engine that missed the older version', stepwiseMember, { target: 3, served: 1, published: both }, [7 + 3, -Infinity, undefined]],
    ['starts for the newer version after the first deadline if the engine serves the older one', stepwiseMember, { target: 3, served: 2, published: both }, [7, 10_300, undefined]],
    ['is the whole zone if the older deadline passed before the publication', stepwiseMember, { target: 3, served: 2, published: [older, { version: 3, at: 9_700 }] }, [10, -Infinity, undefined]]
  ]
  for (const [name, self, view, [size, earliestAt, latestAt]] of cases) {
    it(name, () => {
      const cohort = switchCohort(self, members, 'm', view, policy)
      assert.deepEqual([cohort.members.length, cohort.earliestAt, cohort.latestAt], [size, earliestAt, latestAt])
      assert.ok(cohort.members.every(({ availabilityZone }) => availabilityZone === 'koshi'))
    })
  }
})
