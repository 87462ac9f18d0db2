/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Decides when one engine may switch to the wanted version. No coordinator: the members of a pool in one availability
 * zone stand in rendezvous order and are cut into waves; an engine goes when the wave before it is done. The first
 * wave is the trial of the version: if it fails, later waves never start and the old version stays.
 */
import type { ChunkMember } from './chunk-tree.js'
import { rendezvousOrder } from './rendezvous.js'

/** What a predecessor says of its engine, for one wanted version. */
export type SwitchProgress = 'waiting' | 'serving' | 'failed' | 'unreachable'

/** What an agent may do about its switch. */
export type SwitchDecision =
  | { readonly type: 'go' }
  | { readonly type: 'wait', readonly ask: readonly string[] }
  | { readonly type: 'halt', readonly failed: readonly string[] }

/** How long a whole wave may stay silent before the next one goes without it, in milliseconds. */
export const WAVE_PATIENCE = 10_000

/**
 * The agents that switch before `self` does: the wave just before its own.
 *
 * A zone with one worker of the pool would lose all of it at once, so the lone workers of all zones form one group.
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
  const lone = zone === undefined || sizes.get(zone) === 1
  const group = members.filter(member => lone ? sizes.get(member.availabilityZone) === 1 : member.availabilityZone === zone)
  return [...new Set([self, ...group.map(member => member.instance)])]
}

/** Follows the wave before this engine's own, for one wanted version. */
export class SwitchGate {
  private readonly _progress = new Map<string, SwitchProgress>()
  private readonly _silentSince = new Map<string, number>()

  /** Takes what a predecessor said, or that it said nothing. */
  report (instance: string, progress: SwitchProgress, now: number): void {
    this._progress.set(instance, progress)
    if (progress !== 'unreachable') this._silentSince.delete(instance)
    else if (!this._silentSince.has(instance)) this._silentSince.set(instance, now)
  }

  /**
   * May this engine switch now?
   *
   * @param predecessors From `previousWave`, over the newest instance list: dead instances leave it.
   * @param firstLoad Whether the engine serves nothing yet, so that no capacity is lost by loading.
   *
   * @example
   * if (gate.decide(predecessors, false, now).type === 'go') orderLoad()
   */
  decide (predecessors: readonly string[], firstLoad: boolean, now: number): SwitchDecision {
    if (firstLoad || predecessors.length === 0) return { type: 'go' }
    const failed = predecessors.filter(instance => this._progress.get(instance) === 'failed')
    const settled = predecessors.filter(instance => this._settled(instance, now))
    const serving = predecessors.filter(instance => this._progress.get(instance) === 'serving')
    if (failed.length * 2 >= predecessors.length) return { type: 'halt', failed }
    const everyoneSilent = settled.length === predecessors.length && failed.length === 0
    if (settled.length === predecessors.length && (serving.length > 0 || everyoneSilent)) return { type: 'go' }
    return { type: 'wait', ask: predecessors.filter(instance => this._progress.get(instance) !== 'serving') }
  }

  private _settled (instance: string, now: number): boolean {
    const progress = this._progress.get(instance)
    if (progress === 'serving' || progress === 'failed') return true
    const silent = this._silentSince.get(instance)
    return silent !== undefined && now - silent >= WAVE_PATIENCE
  }
}
