/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Collects what entries tell of endpoints, at the process that passes it on. Each entry receives the sums over the others of its own zone: paths from
 * other zones differ, and traffic between zones is costly.
 */
import { addResults, MAX_REPORT_AGE, type EvidenceReport } from './told-results.js'

/** An entry that tells and hears of endpoints. */
export interface EvidenceMember {
  /** Distinguishes it from the others. */
  readonly id: unknown
  readonly availabilityZone: string
}

interface PendingReport {
  readonly from: EvidenceMember
  readonly report: EvidenceReport
  readonly receivedAt: number
}

/** Bounds memory: the reports of an interval beyond this number are dropped, the oldest first. */
const MAX_PENDING = 4_096

/** The reports that have not been passed on. */
export class EvidencePool {
  private _pending: PendingReport[] = []

  get isEmpty (): boolean { return this._pending.length === 0 }

  /** Adds what an entry tells. */
  add (from: EvidenceMember, reports: readonly EvidenceReport[], now: number): void {
    this._pending.push(...reports.map(report => ({ from, report, receivedAt: now })))
    this._pending.splice(0, this._pending.length - MAX_PENDING)
  }

  /**
   * Returns what each of some entries should hear, and forgets the reports.
   *
   * @example
   * for (const [member, reports] of pool.take(members, now)) send(member, reports)
   */
  take<Member extends EvidenceMember> (members: Iterable<Member>, now: number): Map<Member, EvidenceReport[]> {
    const pending = this._pending
    this._pending = []
    const news = new Map<Member, EvidenceReport[]>()
    for (const member of members) {
      const reports = sumsFor(member, pending, now)
      if (reports.length > 0) news.set(member, reports)
    }
    return news
  }
}

function sumsFor (member: EvidenceMember, pending: readonly PendingReport[], now: number): EvidenceReport[] {
  const sums = new Map<string, EvidenceReport>()
  for (const { from, report, receivedAt } of pending) {
    if (from.id === member.id || from.availabilityZone !== member.availabilityZone) continue
    const age = Math.min(MAX_REPORT_AGE, Math.round(report.age + now - receivedAt))
    const known = sums.get(report.start)
    sums.set(report.start, known === undefined ? { ...report, age } : { start: report.start, ...addResults(known, report), age: Math.max(known.age, age) })
  }
  return [...sums.values()]
}
