/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** What endpoints themselves ask of those who send to them, as the choice among them sees it. */

/** Why an endpoint is sent nothing now. */
export type SparedFor = 'limited' | 'leaving' | 'resting'

/** Which endpoints may be sent a request. */
export interface EndpointGate {
  /** Whether no endpoint asks for anything, as nearly always: then nobody has to ask for each endpoint. */
  readonly quiet: boolean
  /** Why a start of an endpoint is sent nothing now; nothing when it may be sent a request. */
  sparedFor (start: string, now: number): SparedFor | undefined
  /** Whether it is to be sent the next request that it suits: it takes few, and this entry's turn would pass. */
  isDue (start: string, now: number): boolean
  /** A request was sent. */
  sent (start: string, now: number): void
  /** When it may be sent one again, in milliseconds from now: 0 for now, infinite for never. */
  opensIn (start: string, now: number): number
}

/** The gate where no endpoint asks for anything. */
export const openGate: EndpointGate = { quiet: true, sparedFor: () => undefined, isDue: () => false, sent: () => {}, opensIn: () => 0 }
