/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { it } from 'node:test'
import { playVersions } from '../../lib/versions/version-model.js'

const TARGET = 0.7

// Holds the target of docs/design/hard-load.md, part F. Guards against engines that drain at the same time.
for (const agents of [30, 100]) {
  it(`capacity stays at ${TARGET} with two versions 3 s apart at ${agents} agents`, () => {
    const worst = [1, 2, 3].map(seed => Math.min(...playVersions({ agents, seed, published: [0, 3_000], trouble: true }).capacity))
    assert.ok(Math.min(...worst) >= TARGET, `capacity in the worst second by seed: ${worst.map(share => share.toFixed(2)).join(', ')}`)
  })
}
