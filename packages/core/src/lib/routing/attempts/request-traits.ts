/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The properties of requests that may crash the endpoints which run them. A new kind of property needs a rule here and a function that
 * returns its values for a request.
 */

/** `request`: the request as a whole, which its caller may repeat. `prompt-part`: a part that prompts of several requests contain. */
export type TraitKind = 'request' | 'prompt-part'

/** A property of a request, identified by a keyed hash of its kind and value. */
export interface RequestTrait {
  readonly kind: TraitKind
  readonly fingerprint: string
}

/** A request as it is judged: its properties, and the group of endpoints that run such requests. */
export interface SuspectSubject {
  /** The model of the request; empty for a plain service. */
  readonly scope: string
  readonly traits: readonly RequestTrait[]
}

/** How a kind of property is judged. */
export interface TraitRule {
  /** The number of requests that have the property: if the same losses speak for several, the narrowest is the cause. */
  readonly breadth: number
  /**
   * Whether different requests may have the property in common. Many of them run at any time, so a shared property is suspected only if
   * no request with it was answered lately, and only while requests without it are answered.
   */
  readonly shared: boolean
  /** The loss of an endpoint counts only up to this time after it began to answer, in milliseconds. */
  readonly crashWindow: number
}

/**
 * Longest time from the first event of an answer to the crash that the request causes, in milliseconds. An answer that goes on for longer
 * shows that the parts of its prompt are harmless.
 */
export const CRASH_WINDOW = 500

export const traitRules: Record<TraitKind, TraitRule> = {
  request: { breadth: 0, shared: false, crashWindow: Infinity },
  'prompt-part': { breadth: 1, shared: true, crashWindow: CRASH_WINDOW }
}

/**
 * Returns whether a value from another process names a kind of property that this process knows.
 *
 * @example
 * isTraitKind('prompt-part') // true
 */
export function isTraitKind (input: unknown): input is TraitKind {
  return typeof input === 'string' && Object.hasOwn(traitRules, input)
}
