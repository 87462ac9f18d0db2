/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Lets requests wait for something that is on its way, by digest, for a bounded time. */
export class Arrivals {
  private readonly _waiters = new Map<string, Set<() => void>>()

  /**
   * Waits until a digest has arrived, or until the time is up.
   *
   * @param wait Milliseconds.
   * @example
   * await arrivals.waitFor(digest, 1_000)
   */
  async waitFor (digest: string, wait: number): Promise<void> {
    await new Promise<void>(resolve => {
      const waiters = this._waiters.get(digest) ?? new Set()
      this._waiters.set(digest, waiters)
      const done = (): void => {
        clearTimeout(timer)
        waiters.delete(done)
        if (waiters.size === 0) this._waiters.delete(digest)
        resolve()
      }
      const timer = setTimeout(done, wait)
      waiters.add(done)
    })
  }

  /** Wakes everyone who waits for a digest. */
  arrived (digest: string): void {
    for (const done of [...this._waiters.get(digest) ?? []]) done()
  }
}
