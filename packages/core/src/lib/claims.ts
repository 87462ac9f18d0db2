/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Records of request ids that may run at most once, spread over keepers instead of a shared store.
 *
 * Each id maps by rendezvous order to five agents, its keepers. An attempt may run only after four of the five have
 * recorded its claim and vouched that they have seen no other. A keeper vouches only once it has been listed longer
 * than the repeat window, so a replacement cannot vouch for what its predecessor knew. Four of five meet four of five
 * even when two of the keepers differ between two entries' lists (dev-docs/requests.md has the counting).
 *
 * An id that the system issued names its keepers itself: the set is the same for everyone, so a majority is enough,
 * and a keeper vouches as soon as it is the incarnation that the id names.
 */
import { parseIssuedId, type IssuedKeeper } from './issued-id.js'
import { rendezvousTop } from './rendezvous.js'

/** How many agents keep the record of one id. */
export const KEEPER_COUNT = 5

/** A keeper's answer to a claim. */
export type ClaimReply =
  | { readonly type: 'vouched' }
  /** Not listed long enough to know of earlier attempts; ask again after `wait` milliseconds. */
  | { readonly type: 'young', readonly wait: number }
  /** Not the keeper that the id names any more, or the id is older than the repeat window. */
  | { readonly type: 'stranger' }
  | { readonly type: 'seen', readonly attempt: string, readonly bodyDigest: string }
  | { readonly type: 'full' }

/** What an attempt may conclude from its keepers. */
export type QuorumVerdict = 'granted' | 'seen' | 'conflict' | 'young' | 'full' | 'unreachable' | 'open'

/** The keepers of one id, and how many of them must vouch. */
export interface Keepers {
  readonly instances: readonly string[]
  readonly needed: number
}

/**
 * The keepers of an id: those that an issued id names, else the first in the order everyone computes.
 *
 * @example
 * keepersOf(agents, 'hall-1', 'notice-42').instances
 */
export function keepersOf (agents: readonly string[], organisation: string, id: string): Keepers {
  const issued = parseIssuedId(id)
  if (issued !== undefined) return { instances: issued.map(keeper => keeper.instance), needed: majority(issued.length) }
  const instances = rendezvousTop(agents, `${organisation}\n${id}`, KEEPER_COUNT)
  return { instances, needed: neededVouches(instances.length) }
}

/** The least number of a fixed set such that any two choices of it meet. */
function majority (keepers: number): number {
  return Math.floor(keepers / 2) + 1
}

/**
 * How many of `keepers` must vouch. Below four, one silent keeper could hide the only record, so all must.
 *
 * @example
 * neededVouches(5) // 4
 */
export function neededVouches (keepers: number): number {
  return keepers >= 4 ? keepers - 1 : Math.max(1, keepers)
}

interface ClaimRecord {
  readonly attempt: string
  readonly bodyDigest: string
  readonly at: number
}

/** Bounds of a keeper; times in milliseconds. */
export interface KeeperPolicy {
  /** How long a record is kept, and how long a keeper must have been listed before it vouches. */
  readonly repeatWindow: number
  /** Records for one organisation; at the bound new claims are refused, never old ones dropped. */
  readonly recordsPerOrganisation: number
}

/** The policy that agents use unless the settings say otherwise. */
export const defaultKeeperPolicy: KeeperPolicy = { repeatWindow: 600_000, recordsPerOrganisation: 4_096 }

/** The records that one agent keeps. */
export class ClaimKeeper {
  private readonly _records = new Map<string, Map<string, ClaimRecord>>()
  private _listedSince: number | undefined

  /**
   * @param incarnation Names this start of the agent.
   */
  constructor (readonly incarnation: string, private readonly _policy: KeeperPolicy = defaultKeeperPolicy) {}

  /** The number of records held. */
  get size (): number {
    let total = 0
    for (const records of this._records.values()) total += records.size
    return total
  }

  /** The agent saw itself in the instance list. Only the first time counts. */
  listed (now: number): void {
    this._listedSince ??= now
  }

  /**
   * Records a claim, the first attempt for an id winning.
   *
   * @example
   * keeper.claim('hall-1', 'notice-42', 'entry-1:7', bodyDigest, now)
   */
  claim (organisation: string, id: string, attempt: string, bodyDigest: string, now: number): ClaimReply {
    const records = this._fresh(organisation, now)
    const known = records.get(id)
    if (known !== undefined && known.attempt !== attempt) return { type: 'seen', attempt: known.attempt, bodyDigest: known.bodyDigest }
    if (known === undefined && records.size >= this._policy.recordsPerOrganisation) return { type: 'full' }
    if (known === undefined) records.set(id, { attempt, bodyDigest, at: now })
    const issued = parseIssuedId(id)
    if (issued !== undefined) return this._vouchIssued(issued, now)
    const wait = this._youngFor(now)
    return wait > 0 ? { type: 'young', wait } : { type: 'vouched' }
  }

  /** Takes back a claim whose attempt is known never to run. Another attempt's record stays. */
  release (organisation: string, id: string, attempt: string): void {
    const records = this._records.get(organisation)
    if (records?.get(id)?.attempt === attempt) records.delete(id)
    if (records?.size === 0) this._records.delete(organisation)
  }

  /** Records last as long as the repeat window; after it an id must not be vouched for again. */
  private _vouchIssued (issued: readonly IssuedKeeper[], now: number): ClaimReply {
    const own = issued.find(keeper => keeper.incarnation === this.incarnation)
    if (own === undefined) return { type: 'stranger' }
    const age = now - own.at
    return age >= -1 && age < this._policy.repeatWindow ? { type: 'vouched' } : { type: 'stranger' }
  }

  private _youngFor (now: number): number {
    if (this._listedSince === undefined) return this._policy.repeatWindow
    return Math.max(0, this._listedSince + this._policy.repeatWindow - now)
  }

  /** Records leave in the order they came, so the oldest are always first. */
  private _fresh (organisation: string, now: number): Map<string, ClaimRecord> {
    const records = this._records.get(organisation) ?? new Map<string, ClaimRecord>()
    this._records.set(organisation, records)
    for (const [id, record] of records) {
      if (now - record.at <= this._policy.repeatWindow) break
      records.delete(id)
    }
    return records
  }
}

/** Counts the keepers' answers for one attempt. */
export class ClaimQuorum {
  private readonly _replies = new Map<string, ClaimReply | 'unreachable'>()

  /**
   * @param needed How many keepers must vouch.
   */
  constructor (readonly keepers: readonly string[], private readonly _needed: number, private readonly _attempt: string, private readonly _bodyDigest: string) {}

  /** Takes one keeper's answer, or that it gave none. */
  take (keeper: string, reply: ClaimReply | 'unreachable'): void {
    this._replies.set(keeper, reply)
  }

  /**
   * What follows from the answers so far.
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

  /** How long until the youngest keepers vouch, in milliseconds. */
  wait (): number {
    const waits = [...this._replies.values()].map(reply => reply !== 'unreachable' && reply.type === 'young' ? reply.wait : 0)
    return Math.max(0, ...waits)
  }
}
