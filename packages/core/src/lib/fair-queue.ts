/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Start-time fair queueing over organisations (Goyal, Vin and Cheng 1996). The request with the smallest virtual start
 * time is served next, so that each backlogged organisation receives a share proportional to its weight regardless of
 * the load of the others. Request classes multiply the weight, and no class starves another.
 */

/** Request classes, the more urgent first. */
export type RequestClass = 'interactive' | 'batch'

/** The relative weight of each class within its organisation's share. */
const classWeights: Record<RequestClass, number> = { interactive: 4, batch: 1 }

/** A queued request. */
export interface QueuedRequest<Item> {
  readonly item: Item
  readonly organisation: string
  readonly requestClass: RequestClass
  readonly enqueuedAt: number
  /** The request must not start after this time. */
  readonly deadline: number
  readonly startTag: number
}

interface Flow<Item> {
  readonly waiting: QueuedRequest<Item>[]
  finishTag: number
}

/** A queue that serves organisations in proportion to their weights. */
export class FairQueue<Item> {
  private readonly _flows = new Map<string, Flow<Item>>()
  private _virtualTime = 0
  private _size = 0

  /** The number of queued requests. */
  get size (): number { return this._size }

  /** The number of queued requests of one organisation, over all classes. */
  sizeOf (organisation: string): number {
    let total = 0
    for (const requestClass of Object.keys(classWeights)) total += this._flows.get(flowKey(organisation, requestClass))?.waiting.length ?? 0
    return total
  }

  /** The total weight of the organisations with queued requests, used to estimate the share of each. */
  waitingWeight (weightOf: (organisation: string) => number): number {
    const organisations = new Set<string>()
    for (const flow of this._flows.values()) {
      const first = flow.waiting[0]
      if (first !== undefined) organisations.add(first.organisation)
    }
    return [...organisations].reduce((sum, organisation) => sum + weightOf(organisation), 0)
  }

  /**
   * Enqueues a request.
   *
   * @param weight The organisation's weight, above zero.
   *
   * @example
   * queue.add(request, { organisation: 'hall-1', requestClass: 'interactive', weight: 4, now, deadline: now + 2_000 })
   */
  add (item: Item, options: { organisation: string, requestClass: RequestClass, weight: number, now: number, deadline: number }): QueuedRequest<Item> {
    const key = flowKey(options.organisation, options.requestClass)
    const flow = this._flows.get(key) ?? { waiting: [], finishTag: 0 }
    this._flows.set(key, flow)
    const startTag = Math.max(this._virtualTime, flow.finishTag)
    flow.finishTag = startTag + 1 / (options.weight * classWeights[options.requestClass])
    const waiting: QueuedRequest<Item> = { item, organisation: options.organisation, requestClass: options.requestClass, enqueuedAt: options.now, deadline: options.deadline, startTag }
    flow.waiting.push(waiting)
    this._size += 1
    return waiting
  }

  /**
   * Dequeues the next request of an organisation for which `ready` holds. Returns `undefined` if there is none.
   *
   * @param ready Returns false for organisations to skip because they are at their own limit.
   */
  take (ready: (organisation: string) => boolean = () => true): QueuedRequest<Item> | undefined {
    let best: { key: string, flow: Flow<Item>, first: QueuedRequest<Item> } | undefined
    for (const [key, flow] of this._flows) {
      const first = flow.waiting[0]
      if (first === undefined || !ready(first.organisation)) continue
      if (best === undefined || first.startTag < best.first.startTag) best = { key, flow, first }
    }
    if (best === undefined) return undefined
    best.flow.waiting.shift()
    this._size -= 1
    this._virtualTime = Math.max(this._virtualTime, best.first.startTag)
    this._deleteIfIdle(best.key, best.flow)
    return best.first
  }

  /** Removes a request whose caller disconnected. Returns whether it was still queued. */
  remove (waiting: QueuedRequest<Item>): boolean {
    const key = flowKey(waiting.organisation, waiting.requestClass)
    const flow = this._flows.get(key)
    const index = flow?.waiting.indexOf(waiting) ?? -1
    if (flow === undefined || index < 0) return false
    flow.waiting.splice(index, 1)
    this._size -= 1
    this._deleteIfIdle(key, flow)
    return true
  }

  /** Removes and returns the requests whose deadline has passed. */
  expire (now: number): QueuedRequest<Item>[] {
    const expired: QueuedRequest<Item>[] = []
    for (const flow of this._flows.values()) expired.push(...flow.waiting.filter(waiting => waiting.deadline <= now))
    for (const waiting of expired) this.remove(waiting)
    return expired
  }

  /** Deletes an empty flow whose finish tag is not ahead of the virtual time, since it no longer affects scheduling. */
  private _deleteIfIdle (key: string, flow: Flow<Item>): void {
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
