/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Divides the engines of a zone into two cohorts if two versions are published so close together that not all engines can skip the
 * older one. A direct engine fetches and loads only the newer version, and must do so before the older one's deadline. A stepwise engine
 * loads the older version first and the newer one after that deadline. If all engines skipped the older version, all would switch in
 * the short time between the end of the transfer and the deadline; if none did, each would drain twice. Each agent computes the cohorts
 * from the times of publication and the list of members alone.
 */
import type { ChunkMember } from '../../chunk-tree.js'
import { rendezvousOrder } from '../../rendezvous.js'

/**
 * Time for the last direct engines to drain and to load, in milliseconds, before stepwise engines switch to the newer version. Without
 * it, capacity in the worst second is 0.53 in place of 0.56 (mean of 6 seeds, 30 agents, model of versions).
 */
const REOPEN_TIME = 1_000

/** A version and the time from which its deadline counts. */
export interface PublishedVersion {
  readonly version: number
  readonly at: number
}

/** Parameters of the division; times in milliseconds. */
export interface CohortPolicy {
  /** Time from the publication of a version after which no request may start on an older one. */
  readonly bound: number
  /** How long before that deadline the last engine starts to switch. */
  readonly lead: number
  /** Time from the publication of a version until the first engines usually hold it completely. */
  readonly transferTime: number
}

/** The engines that share a period of time for their switches. */
export interface SwitchCohort {
  readonly members: readonly ChunkMember[]
  /** No engine switches earlier; -Infinity without such a limit. */
  readonly earliestAt: number
  /** When the last engine switches; `undefined` for the usual time before the deadline. */
  readonly latestAt: number | undefined
}

/** The state on which a cohort is based. */
export interface CohortView {
  /** The version that the engine is to load next. */
  readonly target: number
  /** The version that the engine serves; 0 if none. */
  readonly served: number
  /** The known versions of the model, in ascending order. */
  readonly published: readonly PublishedVersion[]
}

/**
 * Returns the share of engines that skip the older of two versions. Direct engines switch between the end of the newer version's
 * transfer and the older one's deadline, and stepwise engines between the ends of both transfers, so shares in proportion to these
 * periods keep the same share of engines open in each.
 *
 * @example
 * directShare(0, 3_000, { bound: 9_700, lead: 400, transferTime: 5_000 }) // 0.3
 */
export function directShare (olderAt: number, newerAt: number, { bound, lead, transferTime }: CohortPolicy): number {
  const latest = olderAt + bound - lead
  const period = latest - (olderAt + transferTime)
  return period <= 0 ? 0 : Math.min(1, Math.max(0, (latest - (newerAt + transferTime)) / period))
}

/**
 * Returns the instances of all zones that skip the older of two versions.
 *
 * @param model Varies the selection from model to model.
 * @example
 * if (directInstances(members, 'drafting', { version: 2, at: 0 }, { version: 3, at: 3_000 }, policy).has(self.instance)) stageNewer()
 */
export function directInstances (members: readonly ChunkMember[], model: string, older: PublishedVersion, newer: PublishedVersion, policy: CohortPolicy): ReadonlySet<string> {
  const share = directShare(older.at, newer.at, policy)
  const zones = new Set(members.map(({ availabilityZone }) => availabilityZone))
  return new Set([...zones].flatMap(zone => {
    const instances = members.filter(({ availabilityZone }) => availabilityZone === zone).map(({ instance }) => instance)
    return rendezvousOrder(instances, `${model}@${newer.version} direct`).slice(0, Math.round(share * instances.length))
  }))
}

/**
 * Returns the cohort with which an engine switches to its target.
 *
 * @example
 * const { members, latestAt } = switchCohort(self, members, 'drafting', view, policy)
 */
export function switchCohort (self: ChunkMember, members: readonly ChunkMember[], model: string, { target, served, published }: CohortView, policy: CohortPolicy): SwitchCohort {
  const zone = zoneOf(self, members)
  const whole: SwitchCohort = { members: zone, earliestAt: -Infinity, latestAt: undefined }
  const index = published.findIndex(({ version }) => version === target)
  const [older, current, newer] = [published[index - 1], published[index], published[index + 1]]
  if (current === undefined) return whole
  if (newer !== undefined) {
    const direct = directInstances(zone, model, current, newer, policy)
    if (direct.has(self.instance)) return whole
    const latestAt = Math.min(current.at + policy.bound - policy.lead, newer.at + policy.transferTime)
    return { members: zone.filter(({ instance }) => !direct.has(instance)), earliestAt: -Infinity, latestAt }
  }
  if (older === undefined || current.at >= older.at + policy.bound) return whole
  const direct = directInstances(zone, model, older, current, policy)
  if (served < older.version) return direct.has(self.instance) ? { ...whole, members: zone.filter(({ instance }) => direct.has(instance)) } : whole
  return { members: zone.filter(({ instance }) => !direct.has(instance)), earliestAt: older.at + policy.bound - policy.lead + REOPEN_TIME, latestAt: undefined }
}

function zoneOf (self: ChunkMember, members: readonly ChunkMember[]): ChunkMember[] {
  return [self, ...members.filter(({ instance, availabilityZone }) => instance !== self.instance && availabilityZone === self.availabilityZone)]
}
