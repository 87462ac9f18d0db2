/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Messages between a benchmark and a process that hosts endpoint stand-ins. */
import type { Behaviour } from './http-service.js'
import type { EngineJournal, EngineTimes } from './model-engine.js'

/** An order from a benchmark to a host process. */
export type HostOrder = { readonly id: number } & (
  | { readonly type: 'engine', readonly port: number, readonly times: EngineTimes }
  | { readonly type: 'plain', readonly port: number, readonly duration: number }
  | { readonly type: 'freeze', readonly port: number, readonly frozen: boolean }
  | { readonly type: 'behave', readonly port: number, readonly behaviour: Behaviour }
  | { readonly type: 'fail-loads', readonly port: number, readonly count: number }
  | { readonly type: 'journal' }
)

/** The reply of a host process. The lists are empty unless the order is `journal`. */
export interface HostReply {
  readonly id: number
  readonly engines: readonly { readonly port: number, readonly version: string, readonly journal: EngineJournal }[]
  readonly plains: readonly { readonly port: number, readonly runs: Record<string, number> }[]
}
