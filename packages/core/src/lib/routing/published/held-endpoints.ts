/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The endpoints that a process knows, indexed by id and by address. One endpoint runs at an address at a time, but the store may list
 * several: the entry of an earlier start stays until its heartbeats are missing, and a write of it that was held up may come after the
 * entry of its successor. The start whose first entry came last owns the address, whatever is written later. If the entry of the owner
 * goes while another stays, that other one runs there: only running endpoints send heartbeats.
 */
import type { EndpointRecord } from './endpoint-record.js'

/** A revision of the store. Only revisions of one epoch of the store are comparable. */
export interface EpochRevision {
  readonly epoch: number
  readonly revision: number
}

/** The latest published entry of one endpoint. */
export interface HeldEndpoint {
  readonly record: EndpointRecord
  /** The first entry of this start that was known here, also if it was removed in the meantime. */
  readonly firstKnown: EpochRevision
  /** 0 if the entry was carried over from an earlier epoch of the store. */
  readonly revision: number
  /** Whether the entry was received in an earlier epoch. */
  readonly carried: boolean
  /** Set while the entry is missing after an outage of the store: the time until which the endpoint is still treated as listed. */
  lapsesAt: number | undefined
}

/** Whether one revision is later than another, of the same epoch or an earlier one. */
function isLater (revision: EpochRevision, other: EpochRevision): boolean {
  return revision.epoch === other.epoch ? revision.revision > other.revision : revision.epoch > other.epoch
}

/** Endpoints by id and by address. */
export class HeldEndpoints {
  private readonly _byId = new Map<string, HeldEndpoint>()
  private readonly _idsByAddress = new Map<string, Set<string>>()

  get (id: string): HeldEndpoint | undefined { return this._byId.get(id) }

  /** Iterates over all endpoints; they may be removed during the iteration. */
  values (): IterableIterator<HeldEndpoint> { return this._byId.values() }

  /** Returns the endpoint that owns an address: of those that claim it, the one whose first entry came last. */
  ownerOf (address: string): HeldEndpoint | undefined {
    let owner: HeldEndpoint | undefined
    for (const id of this._idsByAddress.get(address) ?? []) {
      const held = this._byId.get(id)
      if (held !== undefined && (owner === undefined || isLater(held.firstKnown, owner.firstKnown))) owner = held
    }
    return owner
  }

  /** Whether requests may be sent to an endpoint: it owns its address, or does not claim it. */
  isListed ({ record: { id, address } }: HeldEndpoint): boolean {
    return this._idsByAddress.get(address)?.has(id) !== true || this.ownerOf(address)?.record.id === id
  }

  /**
   * Stores an endpoint, replacing the entry of the same id.
   *
   * @param claimsAddress Whether it may own its address; otherwise it never affects others there.
   */
  put (endpoint: HeldEndpoint, claimsAddress: boolean): void {
    const { id, address } = endpoint.record
    const previous = this._byId.get(id)
    if (previous !== undefined) this._releaseAddress(previous)
    this._byId.set(id, endpoint)
    if (!claimsAddress) return
    const claimants = this._idsByAddress.get(address) ?? new Set()
    this._idsByAddress.set(address, claimants.add(id))
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

  /**
   * Removes an endpoint. Does nothing if the endpoint is unknown.
   *
   * @returns The endpoint that owns its address instead, if any.
   * @example
   * const next = endpoints.remove('engine-7')
   */
  remove (id: string): HeldEndpoint | undefined {
    const held = this._byId.get(id)
    if (held === undefined) return undefined
    const wasOwner = this.ownerOf(held.record.address) === held
    this._byId.delete(id)
    this._releaseAddress(held)
    return wasOwner ? this.ownerOf(held.record.address) : undefined
  }

  /** Whether the address of an endpoint is claimed by another one too. */
  isContested ({ record: { id, address } }: HeldEndpoint): boolean {
    return [...this._idsByAddress.get(address) ?? []].some(other => other !== id)
  }

  private _releaseAddress ({ record: { id, address } }: HeldEndpoint): void {
    const claimants = this._idsByAddress.get(address)
    claimants?.delete(id)
    if (claimants?.size === 0) this._idsByAddress.delete(address)
  }
}
