/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** The parts of following a store whose protections a variant may take out. */
import { PublishedState, publishedTopics, StoreCursor } from '@drumdrift/core'

/** The parts of one run. */
export interface PublishedParts {
  readonly state: () => PublishedState
  readonly cursor: (state: PublishedState) => Pick<StoreCursor, 'followed' | 'next' | 'judge'>
  /** Whether what was held in an earlier epoch of the store is carried over. */
  readonly carries: boolean
  /** Whether endpoints count what they write. */
  readonly counts: boolean
}

/** The product's own parts. */
export const realPublishedParts: PublishedParts = {
  state: () => new PublishedState(),
  cursor: state => new StoreCursor(state, publishedTopics),
  carries: true,
  counts: true
}
