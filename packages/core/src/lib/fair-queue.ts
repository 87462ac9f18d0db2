/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Start-time fair queueing over organisations (Goyal, Vin and Cheng 1996): whoever is served next is the one whose
 * request carries the smallest virtual start time, so that each backlogged organisation gets its weight's share,
 * whatever the others send. Classes multiply the weight; no class starves another.
 */

/** Classes of requests, the more urgent first. */
export type RequestClass = 'interactive' | 'batch'

/** How much of its organisation's share a class draws, relative to the others. */
const classWeights: Record<RequestClass, number> = { interactive: 4, batch: 1 }

/** A request that waits. */
export interface Waiting<Item> {
  readonly item: Item
  readonly organisation: string
  readonly requestClass: RequestClass
  readonly enqueuedAt: number
  /** No start after this time. */
  readonly deadline: number
  readonly startTag: number
}

interface Flow<Item> {
  readonly waiting: Waiting<Item>[]
  finishTag: number
}

/** A queue that shares its output by weight. */
export class FairQueue<Item> {
  private readonly _flows = new Map<string, Flow<Item>>()
  private _virtualTime = 0
  private _size = 0

  /** Requests that wait. */
  get size (): number { return this._size }

  /** Requests of one organisation that wait, over its classes. */
  sizeOf (organisation: string): number {
    let total = 0
    for (const requestClass of Object.keys(classWeights)) total += this._flows.get(flowKey(organisation, requestClass))?.waiting.length ?? 0
    return total
  }

  /** The sum of weights of the organisations that wait, for estimates of one's share. */
  waitingWeight (weightOf: (organisation: string) => number): number {
    const organisations = new Set<string>()
    for (const flow of this._flows.values()) {
      const first = flow.waiting[0]
      if (first !== undefined) organisations.add(first.organisation)
    }
    return [...organisations].reduce((sum, organisation) => sum + weightOf(organisation), 0)
  }

  /**
   * Adds a request.
   *
   * @param weight The organisation's weight, above zero.
   *
   * @example
   * queue.add(request, { organisation: 'hall-1', requestClass: 'interactive', weight: 4, now, deadline: now + 2_000 })
   */
  add (item: Item, place: { organisation: string, requestClass: RequestClass, weight: number, now: number, deadline: number }): Waiting<Item> {
    const key = flowKey(place.organisation, place.requestClass)
    const flow = this._flows.get(key) ?? { waiting: [], finishTag: 0 }
    this._flows.set(key, flow)
    const startTag = Math.max(this._virtualTime, flow.finishTag)
    flow.finishTag = startTag + 1 / (place.weight * classWeights[place.requestClass])
    const waiting: Waiting<Item> = { item, organisation: place.organisation, requestClass: place.requestClass, enqueuedAt: place.now, deadline: place.deadline, startTag }
    flow.waiting.push(waiting)
    this._size += 1
    return waiting
  }

  /**
   * Takes the next request for which `ready` holds, or nothing.
   *
   * @param ready Lets organisations be passed over that are at their own limit.
   */
  take (ready: (organisation: string) => boolean = () => true): Waiting<Item> | undefined {
    let best: { key: string, flow: Flow<Item>, first: Waiting<Item> } | undefined
    for (const [key, flow] of this._flows) {
      const first = flow.waiting[0]
      if (first === undefined || !ready(first.organisation)) continue
      if (best === undefined || first.startTag < best.first.startTag) best = { key, flow, first }
    }
    if (best === undefined) return undefined
    best.flow.waiting.shift()
    this._size -= 1
    this._virtualTime = Math.max(this._virtualTime, best.first.startTag)
    this._tidy(best.key, best.flow)
    return best.first
  }

  /** Removes a request whose caller hung up. Returns whether it still waited. */
  remove (waiting: Waiting<Item>): boolean {
    const key = flowKey(waiting.organisation, waiting.requestClass)
    const flow = this._flows.get(key)
    const index = flow?.waiting.indexOf(waiting) ?? -1
    if (flow === undefined || index < 0) return false
    flow.waiting.splice(index, 1)
    this._size -= 1
    this._tidy(key, flow)
    return true
  }

  /** Removes and returns what can no longer start in time. */
  expire (now: number): Waiting<Item>[] {
    const expired: Waiting<Item>[] = []
    for (const flow of this._flows.values()) expired.push(...flow.waiting.filter(waiting => waiting.deadline <= now))
    for (const waiting of expired) this.remove(waiting)
    return expired
  }

  /** Empty flows behind the virtual time carry no information. */
  private _tidy (key: string, flow: Flow<Item>): void {
    if (flow.waiting.length === 0 && flow.finishTag <= this._virtualTime) this._flows.delete(key)
    if (this._size === 0) this._reset()
  }

  private _reset (): void {
    this._flows.clear()
    this._virtualTime = 0
  }
}

function flowKey (organisation: string, requestClass: string): string {
  return `${organisation}\n${requestClass}`
}
