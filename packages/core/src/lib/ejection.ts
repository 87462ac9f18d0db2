/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Outlier ejection: excludes endpoints that fail or hang, for a time that doubles with each ejection, and then sends a
 * single probe request. If all endpoints of a group look unhealthy, the fault is likely elsewhere and all of them are used.
 */

const FAILURES_TO_EJECT = 3
/** The duration of the first ejection, in milliseconds. */
const FIRST_EJECTION_MILLISECONDS = 1_000
/** The maximum duration of an ejection, in milliseconds. */
const MAX_EJECTION_MILLISECONDS = 20_000

interface Health {
  failures: number
  ejections: number
  ejectedUntil: number
  probing: boolean
}

/** The health of the endpoints of one group, as observed by one entry. */
export class Ejection {
  private readonly _health = new Map<string, Health>()

  /**
   * Returns the `instances` that may be chosen.
   *
   * @example
   * const candidates = ejection.usable(instances, now)
   */
  usable (instances: readonly string[], now: number): string[] {
    const good = instances.filter(instance => this._usable(instance, now))
    return good.length > 0 ? good : [...instances]
  }

  /** Records that a request was sent. An endpoint whose ejection has ended gets one probe request at a time. */
  chosen (instance: string): void {
    const health = this._health.get(instance)
    if (health !== undefined && health.failures >= FAILURES_TO_EJECT) health.probing = true
  }

  /** Records a success, which clears the failures of the instance. */
  succeeded (instance: string): void {
    this._health.delete(instance)
  }

  /** Records that a request ended without evidence for or against health, for example because the caller disconnected. */
  ended (instance: string): void {
    const health = this._health.get(instance)
    if (health !== undefined) health.probing = false
  }

  /** Records that a request failed or timed out. */
  failed (instance: string, now: number): void {
    const health = this._health.get(instance) ?? { failures: 0, ejections: 0, ejectedUntil: 0, probing: false }
    this._health.set(instance, health)
    health.failures += 1
    health.probing = false
    if (health.failures < FAILURES_TO_EJECT) return
    health.ejectedUntil = now + Math.min(MAX_EJECTION_MILLISECONDS, FIRST_EJECTION_MILLISECONDS * 2 ** health.ejections)
    health.ejections += 1
  }

  /** Removes instances that are no longer listed. */
  retain (instances: ReadonlySet<string>): void {
    for (const instance of this._health.keys()) if (!instances.has(instance)) this._health.delete(instance)
  }

  private _usable (instance: string, now: number): boolean {
    const health = this._health.get(instance)
    if (health === undefined || health.failures < FAILURES_TO_EJECT) return true
    return now >= health.ejectedUntil && !health.probing
  }
}
