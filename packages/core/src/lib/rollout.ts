/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Decides when an engine may switch to the wanted version, without a coordinator. The members of a pool in one
 * availability zone are put in rendezvous order and divided into waves; an engine may switch when the previous wave is
 * done. The first wave acts as a canary: if it fails, later waves do not start and keep the old version.
 */
import type { ChunkMember } from './chunk-tree.js'
import { rendezvousOrder } from './rendezvous.js'

/** The progress of an engine with one wanted version, as reported to its successors. */
export type SwitchProgress = 'waiting' | 'serving' | 'failed' | 'unreachable'

/** Whether an agent may start its switch. */
export type SwitchDecision =
  | { readonly type: 'go' }
  | { readonly type: 'wait', readonly ask: readonly string[] }
  | { readonly type: 'halt', readonly failed: readonly string[] }

/** How long a member of a wave may be unreachable before the next wave no longer waits for it, in milliseconds. */
export const WAVE_TIMEOUT_MILLISECONDS = 10_000

/**
 * Returns the agents in the wave immediately before that of `self`.
 *
 * A zone with a single worker of the pool would lose all its capacity during the switch, so the single workers of all
 * zones form one group.
 *
 * @example
 * previousWave('agent-5', poolMembers, 0.25, digest)
 */
export function previousWave (self: string, members: readonly ChunkMember[], fraction: number, digest: string): string[] {
  const group = switchGroup(self, members)
  const ordered = rendezvousOrder(group, digest)
  const size = Math.max(1, Math.floor(ordered.length * fraction))
  const wave = Math.floor(ordered.indexOf(self) / size)
  if (wave <= 0) return []
  return ordered.slice((wave - 1) * size, wave * size)
}

function switchGroup (self: string, members: readonly ChunkMember[]): string[] {
  const zoneOf = new Map(members.map(member => [member.instance, member.availabilityZone]))
  const sizes = new Map<string, number>()
  for (const zone of zoneOf.values()) sizes.set(zone, (sizes.get(zone) ?? 0) + 1)
  const zone = zoneOf.get(self)
  const single = zone === undefined || sizes.get(zone) === 1
  const group = members.filter(member => single ? sizes.get(member.availabilityZone) === 1 : member.availabilityZone === zone)
  return [...new Set([self, ...group.map(member => member.instance)])]
}

/** Tracks the progress of the previous wave for one wanted version. */
export class SwitchGate {
  private readonly _progress = new Map<string, SwitchProgress>()
  private readonly _unreachableSince = new Map<string, number>()

  /** Records the progress of a predecessor, or that it could not be reached. */
  report (instance: string, progress: SwitchProgress, now: number): void {
    this._progress.set(instance, progress)
    if (progress !== 'unreachable') this._unreachableSince.delete(instance)
    else if (!this._unreachableSince.has(instance)) this._unreachableSince.set(instance, now)
  }

  /**
   * Decides whether this engine may switch now.
   *
   * @param predecessors The result of `previousWave` for the newest instance list, which omits dead instances.
   * @param firstLoad Whether the engine serves no version yet, so that loading takes no capacity away.
   *
   * @example
   * if (gate.decide(predecessors, false, now).type === 'go') orderLoad()
   */
  decide (predecessors: readonly string[], firstLoad: boolean, now: number): SwitchDecision {
    if (firstLoad || predecessors.length === 0) return { type: 'go' }
    const failed = predecessors.filter(instance => this._progress.get(instance) === 'failed')
    const settled = predecessors.filter(instance => this._isSettled(instance, now))
    const serving = predecessors.filter(instance => this._progress.get(instance) === 'serving')
    if (failed.length * 2 >= predecessors.length) return { type: 'halt', failed }
    const allUnreachable = settled.length === predecessors.length && failed.length === 0
    if (settled.length === predecessors.length && (serving.length > 0 || allUnreachable)) return { type: 'go' }
    return { type: 'wait', ask: predecessors.filter(instance => this._progress.get(instance) !== 'serving') }
  }

  private _isSettled (instance: string, now: number): boolean {
    const progress = this._progress.get(instance)
    if (progress === 'serving' || progress === 'failed') return true
    const unreachableSince = this._unreachableSince.get(instance)
    return unreachableSince !== undefined && now - unreachableSince >= WAVE_TIMEOUT_MILLISECONDS
  }
}
