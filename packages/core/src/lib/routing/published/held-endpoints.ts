/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** The endpoints that a process knows, indexed by id and by address. An address belongs to one endpoint at a time. */
import type { EndpointRecord } from './endpoint-record.js'

/** The latest published entry of one endpoint. */
export interface HeldEndpoint {
  readonly record: EndpointRecord
  /** 0 if the entry was carried over from an earlier epoch of the store. */
  readonly revision: number
  /** Whether the entry was received in an earlier epoch. */
  readonly carried: boolean
  /** Set while the entry is missing after an outage of the store: the time until which the endpoint is still treated as listed. */
  lapsesAt: number | undefined
}

/** Endpoints by id and by address. */
export class HeldEndpoints {
  private readonly _byId = new Map<string, HeldEndpoint>()
  private readonly _idByAddress = new Map<string, string>()

  get (id: string): HeldEndpoint | undefined { return this._byId.get(id) }

  /** Iterates over all endpoints; they may be removed during the iteration. */
  values (): IterableIterator<HeldEndpoint> { return this._byId.values() }

  /** Returns the endpoint that owns an address. */
  atAddress (address: string): HeldEndpoint | undefined {
    const id = this._idByAddress.get(address)
    return id === undefined ? undefined : this._byId.get(id)
  }

  /**
   * Stores an endpoint, replacing the entry of the same id.
   *
   * @param claimsAddress Whether it becomes the owner of its address, replacing the current owner.
   */
  put (endpoint: HeldEndpoint, claimsAddress: boolean): void {
    const { id, address } = endpoint.record
    const previous = this._byId.get(id)
    if (previous !== undefined) this._releaseAddress(previous)
    this._byId.set(id, endpoint)
    if (claimsAddress) this._idByAddress.set(address, id)
  }

  /** Carries all entries over into a new epoch of the store, at revision 0. */
  carryOver (): void {
    for (const [id, held] of this._byId) this._byId.set(id, { ...held, revision: 0, carried: true })
  }

  /** Records that the store has no newer entry of an endpoint up to a revision. Does nothing if the endpoint is unknown. */
  confirm (id: string, revision: number): void {
    const held = this._byId.get(id)
    if (held !== undefined) this._byId.set(id, { ...held, revision, lapsesAt: undefined })
  }

  /** Removes an endpoint. Does nothing if the endpoint is unknown. */
  remove (id: string): void {
    const held = this._byId.get(id)
    if (held === undefined) return
    this._byId.delete(id)
    this._releaseAddress(held)
  }

  private _releaseAddress ({ record: { id, address } }: HeldEndpoint): void {
    if (this._idByAddress.get(address) === id) this._idByAddress.delete(address)
  }
}
