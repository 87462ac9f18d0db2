/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** The parts of the published world that a variant may replace. */
import { PublishedState, publishedTopics, StoreCursor } from '@drumdrift/core'

/** The parts whose protections a variant may remove. */
export interface PublishedParts {
  readonly state: () => PublishedState
  readonly cursor: (state: PublishedState) => Pick<StoreCursor, 'followed' | 'next' | 'judge'>
  /** Whether a process keeps its state when the store begins a new epoch. */
  readonly keepsStateAcrossEpochs: boolean
  /** Whether endpoint records carry the count of their writes. */
  readonly countsWrites: boolean
}

/** The product's own parts. */
export const realPublishedParts: PublishedParts = {
  state: () => new PublishedState(),
  cursor: state => new StoreCursor(state, publishedTopics),
  keepsStateAcrossEpochs: true,
  countsWrites: true
}
