/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Messages between a test bench and a process that holds endpoint stand-ins. */
import type { Behaviour } from './http-service.js'
import type { EngineJournal, EngineTimes } from './model-engine.js'

/** What a bench orders. */
export type HostOrder = { readonly id: number } & (
  | { readonly type: 'engine', readonly port: number, readonly times: EngineTimes }
  | { readonly type: 'plain', readonly port: number, readonly duration: number }
  | { readonly type: 'freeze', readonly port: number, readonly frozen: boolean }
  | { readonly type: 'behave', readonly port: number, readonly behaviour: Behaviour }
  | { readonly type: 'fail-loads', readonly port: number, readonly count: number }
  | { readonly type: 'journal' }
)

/** What a host answers; journals only when asked for. */
export interface HostReply {
  readonly id: number
  readonly engines: readonly { readonly port: number, readonly version: string, readonly journal: EngineJournal }[]
  readonly plains: readonly { readonly port: number, readonly runs: Record<string, number> }[]
}
