/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Takes endpoints out of the choice that fail or hang, for a time that doubles, and lets one request through to see
 * whether they are back. At most half of a group is out at once: when everything looks bad, the fault is elsewhere.
 */

const FAILURES_TO_EJECT = 3
const FIRST_EJECTION = 1_000
const LONGEST_EJECTION = 20_000
const LARGEST_SHARE = 0.5

interface Health {
  failures: number
  ejections: number
  until: number
  probing: boolean
}

/** The health of the endpoints of one group, as one entry sees it. */
export class Ejection {
  private readonly _health = new Map<string, Health>()

  /**
   * Those of `instances` that may be chosen.
   *
   * @example
   * const candidates = ejection.usable(instances, now)
   */
  usable (instances: readonly string[], now: number): string[] {
    const good = instances.filter(instance => this._usable(instance, now))
    if (good.length >= instances.length * LARGEST_SHARE) return good
    return [...instances]
  }

  /** A request was sent: an endpoint whose time is over gets just one until that ends. */
  chosen (instance: string): void {
    const health = this._health.get(instance)
    if (health !== undefined && health.failures >= FAILURES_TO_EJECT) health.probing = true
  }

  /** A request ended well. */
  succeeded (instance: string): void {
    this._health.delete(instance)
  }

  /** A request ended without trouble or proof of health, for instance because its caller hung up. */
  ended (instance: string): void {
    const health = this._health.get(instance)
    if (health !== undefined) health.probing = false
  }

  /** A request failed, or no answer came in time. */
  failed (instance: string, now: number): void {
    const health = this._health.get(instance) ?? { failures: 0, ejections: 0, until: 0, probing: false }
    this._health.set(instance, health)
    health.failures += 1
    health.probing = false
    if (health.failures < FAILURES_TO_EJECT) return
    health.until = now + Math.min(LONGEST_EJECTION, FIRST_EJECTION * 2 ** health.ejections)
    health.ejections += 1
  }

  /** Forgets instances that are no longer listed. */
  retain (instances: ReadonlySet<string>): void {
    for (const instance of this._health.keys()) if (!instances.has(instance)) this._health.delete(instance)
  }

  private _usable (instance: string, now: number): boolean {
    const health = this._health.get(instance)
    if (health === undefined || health.failures < FAILURES_TO_EJECT) return true
    return now >= health.until && !health.probing
  }
}
