/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** The endpoints that a process holds, by id and by address. At an address there is one at a time. */
import type { EndpointRecord } from './endpoint-record.js'

/** One endpoint as it was published last. */
export interface HeldEndpoint {
  readonly record: EndpointRecord
  /** 0 for what was carried over from an earlier epoch of the store. */
  readonly revision: number
  /** Whether it was heard in an earlier epoch. */
  readonly carried: boolean
  /** Set while the entry is missing after an outage of the store, until when it is still taken as alive. */
  lapsesAt: number | undefined
}

/** Endpoints by id and by address. */
export class HeldEndpoints {
  private readonly _byId = new Map<string, HeldEndpoint>()
  private readonly _idAt = new Map<string, string>()

  get (id: string): HeldEndpoint | undefined { return this._byId.get(id) }

  /** All of them; they may be taken away while they are gone through. */
  values (): IterableIterator<HeldEndpoint> { return this._byId.values() }

  /** The endpoint at an address. */
  at (address: string): HeldEndpoint | undefined {
    const id = this._idAt.get(address)
    return id === undefined ? undefined : this._byId.get(id)
  }

  /**
   * Holds an endpoint in place of what was held of the same id.
   *
   * @param claimsAddress Whether it takes its address from whatever was held there.
   */
  hold (endpoint: HeldEndpoint, claimsAddress: boolean): void {
    const { id, address } = endpoint.record
    const before = this._byId.get(id)
    if (before !== undefined) this._leave(before)
    this._byId.set(id, endpoint)
    if (claimsAddress) this._idAt.set(address, id)
  }

  /** The store begins another epoch. */
  carryOver (): void {
    for (const [id, held] of this._byId) this._byId.set(id, { ...held, revision: 0, carried: true })
  }

  /** The store has nothing newer of an endpoint up to a revision; nothing happens when it is not held. */
  confirm (id: string, revision: number): void {
    const held = this._byId.get(id)
    if (held !== undefined) this._byId.set(id, { ...held, revision, lapsesAt: undefined })
  }

  /** Takes an endpoint away; nothing happens when it is not held. */
  drop (id: string): void {
    const held = this._byId.get(id)
    if (held === undefined) return
    this._byId.delete(id)
    this._leave(held)
  }

  private _leave ({ record: { id, address } }: HeldEndpoint): void {
    if (this._idAt.get(address) === id) this._idAt.delete(address)
  }
}
