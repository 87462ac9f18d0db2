/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** The restrictions that endpoints place on requests to them, as the endpoint chooser sees them. */

/** Why no request may be sent to an endpoint now. */
export type SparedFor = 'limited' | 'leaving' | 'resting' | 'cold'

/** Which endpoints may be sent a request. */
export interface EndpointGate {
  /** Whether no endpoint has any restriction, which is the common case: then the check of each endpoint can be skipped. */
  readonly quiet: boolean
  /** The reason why no request may be sent to an endpoint now; `undefined` if one may be sent. */
  sparedFor (start: string, now: number): SparedFor | undefined
  /** Whether the endpoint is rate-limited and this entry holds a permit that would lapse, so that the endpoint is preferred. */
  isDue (start: string, now: number): boolean
  /**
   * Whether that applies even to an endpoint whose load this entry does not follow. The shares of a limit are equal for all entries, so
   * those of entries that do not follow the endpoint would be lost.
   */
  isDueUnfollowed (start: string, now: number): boolean
  /** Records a request that was sent. */
  sent (start: string, now: number): void
  /** The time until a request may be sent to the endpoint, in milliseconds: 0 for now, infinite for never. */
  opensIn (start: string, now: number): number
}

/** A gate without restrictions. */
export const openGate: EndpointGate = { quiet: true, sparedFor: () => undefined, isDue: () => false, isDueUnfollowed: () => false, sent: () => {}, opensIn: () => 0 }
