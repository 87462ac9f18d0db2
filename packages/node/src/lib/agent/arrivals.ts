/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Lets requests wait for a bounded time until the chunk or manifest with a digest arrives. */
export class Arrivals {
  private readonly _waiters = new Map<string, Set<() => void>>()

  /**
   * Resolves when the digest arrives or the timeout expires, whichever comes first.
   *
   * @param wait The timeout in milliseconds.
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

  /** Resolves all waits for a digest. */
  notify (digest: string): void {
    for (const done of [...this._waiters.get(digest) ?? []]) done()
  }
}
