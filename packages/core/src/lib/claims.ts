/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * At-most-once records of request ids, distributed over keepers instead of held in a shared store.
 *
 * Rendezvous order maps each id to five agents, its keepers. An attempt may run only after four of the five have
 * recorded its claim and confirmed that they have seen no other attempt. A keeper confirms only once it has been listed
 * for longer than the repeat window, so that a replacement cannot confirm ids that only its predecessor has recorded.
 * Two sets of four out of five intersect even if two keepers differ between the instance lists of two entries
 * (dev-docs/requests.md has the proof).
 *
 * An id issued by the system names its keepers, so every entry uses the same set and a majority is enough. A keeper
 * confirms such an id immediately if it is the incarnation that the id names.
 */
import { parseIssuedId, type IssuedKeeper } from './issued-id.js'
import { rendezvousTop } from './rendezvous.js'

/** The number of agents that record each id. */
export const KEEPER_COUNT = 5

/** A keeper's reply to a claim. */
export type ClaimReply =
  | { readonly type: 'vouched' }
  /** The keeper has not been listed long enough to know of earlier attempts; retry after `wait` milliseconds. */
  | { readonly type: 'young', readonly wait: number }
  /** The keeper is not the incarnation that the id names, or the id is older than the repeat window. */
  | { readonly type: 'stranger' }
  | { readonly type: 'seen', readonly attempt: string, readonly bodyDigest: string }
  | { readonly type: 'full' }

/** The outcome of an attempt's claims at its keepers. */
export type QuorumVerdict = 'granted' | 'seen' | 'conflict' | 'young' | 'full' | 'unreachable' | 'open'

/** The keepers of one id, and how many of them must confirm a claim. */
export interface Keepers {
  readonly instances: readonly string[]
  readonly needed: number
}

/**
 * Returns the keepers of an id: those named by an issued id, otherwise the first agents in rendezvous order.
 *
 * @example
 * keepersOf(agents, 'hall-1', 'notice-42').instances
 */
export function keepersOf (agents: readonly string[], organisation: string, id: string): Keepers {
  const issued = parseIssuedId(id)
  if (issued !== undefined) return { instances: issued.map(keeper => keeper.instance), needed: majority(issued.length) }
  const instances = rendezvousTop(agents, `${organisation}\n${id}`, KEEPER_COUNT)
  return { instances, needed: requiredConfirmations(instances.length) }
}

/** The smallest number of keepers such that any two subsets of that size intersect. */
function majority (keepers: number): number {
  return Math.floor(keepers / 2) + 1
}

/**
 * How many of `keepers` must confirm a claim. Below four, the only record could be at a single unreachable keeper, so
 * all must confirm.
 *
 * @example
 * requiredConfirmations(5) // 4
 */
export function requiredConfirmations (keepers: number): number {
  return keepers >= 4 ? keepers - 1 : Math.max(1, keepers)
}

interface ClaimRecord {
  readonly attempt: string
  readonly bodyDigest: string
  readonly at: number
}

/** Limits of a keeper; times in milliseconds. */
export interface KeeperPolicy {
  /** How long a record is kept, and how long a keeper must have been listed before it confirms claims. */
  readonly repeatWindow: number
  /** The maximum number of records per organisation. At the bound, new claims are refused; records are never evicted. */
  readonly recordsPerOrganisation: number
}

/** The default policy of agents. */
export const defaultKeeperPolicy: KeeperPolicy = { repeatWindow: 600_000, recordsPerOrganisation: 4_096 }

/** The claim records of one agent. */
export class ClaimKeeper {
  private readonly _records = new Map<string, Map<string, ClaimRecord>>()
  private _listedSince: number | undefined

  /**
   * @param incarnation Identifies this run of the agent process.
   */
  constructor (readonly incarnation: string, private readonly _policy: KeeperPolicy = defaultKeeperPolicy) {}

  /** The number of records held. */
  get size (): number {
    let total = 0
    for (const records of this._records.values()) total += records.size
    return total
  }

  /** Records when the agent first found itself in the instance list. Later calls have no effect. */
  listed (now: number): void {
    this._listedSince ??= now
  }

  /**
   * Records a claim. The first attempt for an id wins.
   *
   * @example
   * keeper.claim('hall-1', 'notice-42', 'entry-1:7', bodyDigest, now)
   */
  claim (organisation: string, id: string, attempt: string, bodyDigest: string, now: number): ClaimReply {
    const records = this._unexpiredRecords(organisation, now)
    const existing = records.get(id)
    if (existing !== undefined && existing.attempt !== attempt) return { type: 'seen', attempt: existing.attempt, bodyDigest: existing.bodyDigest }
    if (existing === undefined && records.size >= this._policy.recordsPerOrganisation) return { type: 'full' }
    if (existing === undefined) records.set(id, { attempt, bodyDigest, at: now })
    const issued = parseIssuedId(id)
    if (issued !== undefined) return this._confirmIssued(issued, now)
    const wait = this._remainingWait(now)
    return wait > 0 ? { type: 'young', wait } : { type: 'vouched' }
  }

  /** Releases the claim of an attempt that is known not to run. A record of another attempt is kept. */
  release (organisation: string, id: string, attempt: string): void {
    const records = this._records.get(organisation)
    if (records?.get(id)?.attempt === attempt) records.delete(id)
    if (records?.size === 0) this._records.delete(organisation)
  }

  /** Confirms an issued id only within the repeat window, since records are deleted after it. */
  private _confirmIssued (issued: readonly IssuedKeeper[], now: number): ClaimReply {
    const own = issued.find(keeper => keeper.incarnation === this.incarnation)
    if (own === undefined) return { type: 'stranger' }
    const age = now - own.at
    return age >= -1 && age < this._policy.repeatWindow ? { type: 'vouched' } : { type: 'stranger' }
  }

  private _remainingWait (now: number): number {
    if (this._listedSince === undefined) return this._policy.repeatWindow
    return Math.max(0, this._listedSince + this._policy.repeatWindow - now)
  }

  /** The records of an organisation, after deleting expired ones. Maps keep insertion order, so the oldest come first. */
  private _unexpiredRecords (organisation: string, now: number): Map<string, ClaimRecord> {
    const records = this._records.get(organisation) ?? new Map<string, ClaimRecord>()
    this._records.set(organisation, records)
    for (const [id, record] of records) {
      if (now - record.at <= this._policy.repeatWindow) break
      records.delete(id)
    }
    return records
  }
}

/** Collects the keepers' replies for one attempt. */
export class ClaimQuorum {
  private readonly _replies = new Map<string, ClaimReply | 'unreachable'>()

  /**
   * @param _needed How many keepers must confirm the claim.
   */
  constructor (readonly keepers: readonly string[], private readonly _needed: number, private readonly _attempt: string, private readonly _bodyDigest: string) {}

  /** Records the reply of one keeper, or that it could not be reached. */
  take (keeper: string, reply: ClaimReply | 'unreachable'): void {
    this._replies.set(keeper, reply)
  }

  /**
   * Returns the verdict on the replies received so far.
   *
   * @example
   * if (quorum.verdict() === 'granted') sendGo()
   */
  verdict (): QuorumVerdict {
    const replies = [...this._replies.values()]
    const seen = replies.find(reply => reply !== 'unreachable' && reply.type === 'seen' && reply.attempt !== this._attempt)
    if (seen !== undefined && seen !== 'unreachable' && seen.type === 'seen') return seen.bodyDigest === this._bodyDigest ? 'seen' : 'conflict'
    const count = (type: ClaimReply['type']): number => replies.filter(reply => reply !== 'unreachable' && reply.type === type).length
    const needed = this._needed
    if (count('vouched') >= needed) return 'granted'
    const pending = this.keepers.length - replies.length
    if (count('vouched') + pending >= needed && pending > 0) return 'open'
    if (count('full') > 0) return 'full'
    if (count('young') + count('stranger') > 0) return 'young'
    return 'unreachable'
  }

  /** How long until all keepers have been listed long enough to confirm claims, in milliseconds. */
  wait (): number {
    const waits = [...this._replies.values()].map(reply => reply !== 'unreachable' && reply.type === 'young' ? reply.wait : 0)
    return Math.max(0, ...waits)
  }
}
