/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Stands in for the users' store: items with revisions, reads by prefix in pages, watches that wait, and its faults.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { HttpService, sendJson } from '../http-service.js'

/** One change, as the store tells it. */
interface StoreEvent {
  readonly key: string
  readonly revision: number
  readonly value?: string
  readonly removed?: true
}

interface Waiting {
  readonly prefix: string
  readonly after: number
  readonly response: ServerResponse
  readonly timer: NodeJS.Timeout
}

/** Everything that the store holds at one moment. */
interface StoreCopy {
  readonly items: readonly StoreEvent[]
  readonly history: readonly StoreEvent[]
  readonly revision: number
}

/** What the store does with calls, besides `behaviour`: answer, turn away, or hear and say nothing. */
export type StoreMode = 'answers' | 'turns-away' | 'silent'

/** The store on loopback. */
export class KeyValueStoreStandIn extends HttpService {
  mode: StoreMode = 'answers'
  /** Items in one page of a read. */
  pageSize = 500
  /** Names the store's epoch in all its answers; nothing where it tells none. */
  epoch: number | undefined = 1
  private _onPage: (page: number) => void = () => {}
  private _pages = 0
  private _items = new Map<string, StoreEvent>()
  /** What readings get that may be old; the same as others without. */
  private _old: StoreCopy | undefined
  private _copy: StoreCopy | undefined
  private _history: StoreEvent[] = []
  private _revision = 1
  private _forgottenUpTo = 0
  private readonly _waiting = new Set<Waiting>()

  /** Writes a document, as operators and workers do. Returns its revision. */
  put (key: string, document: unknown): number {
    const value = Buffer.from(JSON.stringify(document)).toString('base64')
    return this._change({ key, revision: ++this._revision, value })
  }

  /** Has something done after each page of a reading, by how many there were since. */
  eachPage (run: (page: number) => void): void {
    this._onPage = run
    this._pages = 0
  }

  remove (key: string): number {
    return this._change({ key, revision: ++this._revision, removed: true })
  }

  /** Writes the operators' configuration. */
  putConfiguration (document: unknown): number { return this.put('op/config', document) }

  /** Names a version of a model. */
  putVersion (model: string, version: number): number { return this.put(`op/version/${model}`, { model, version }) }

  /** Writes what a worker says of itself. */
  putWorker (id: string, entry: unknown): number { return this.put(`servers/${id}`, entry) }

  removeWorker (id: string): number { return this.remove(`servers/${id}`) }

  /** From now on readings that may be old get what is here now. */
  keepOld (): void { this._old = this._copyOfAll() }

  /** Makes the copy that the store may be restored from. */
  makeCopy (): void { this._copy = this._copyOfAll() }

  /** Goes back to the copy, in the next epoch: what was written since is gone, and its revisions are given out again. */
  restore (): void {
    if (this._copy === undefined) throw new Error('there is no copy')
    const { items, history, revision } = this._copy
    this._items = new Map(items.map(item => [item.key, item]))
    this._history = [...history]
    this._revision = revision
    this.epoch = (this.epoch ?? 0) + 1
    this._cutWatches()
  }

  /** Forgets its history and cuts all watches. */
  compact (): void {
    this._forgottenUpTo = this._revision
    this._history = []
    this._cutWatches()
  }

  private _copyOfAll (): StoreCopy { return { items: [...this._items.values()], history: [...this._history], revision: this._revision } }

  private _cutWatches (): void {
    for (const waiting of this._waiting) {
      clearTimeout(waiting.timer)
      waiting.response.destroy()
    }
    this._waiting.clear()
  }

  override close (): void {
    for (const { timer } of this._waiting) clearTimeout(timer)
    super.close()
  }

  protected override mark (response: ServerResponse): void {
    if (this.epoch !== undefined) response.setHeader('store-era', String(this.epoch))
  }

  protected answer (request: IncomingMessage, response: ServerResponse): void {
    if (this.mode === 'silent') return
    if (this.mode === 'turns-away') return sendJson(response, {}, 503)
    const url = new URL(request.url ?? '/', 'http://store')
    const prefix = url.searchParams.get('pathPrefix') ?? ''
    const old = url.searchParams.get('allowStale') === '1' ? this._old : undefined
    if (url.pathname === '/api/kv-range') this._range(old ?? { items: [...this._items.values()], revision: this._revision }, prefix, url.searchParams.get('sinceRev') ?? '', response)
    else if (url.pathname === '/api/kv-watch') this._watch(prefix, Number(url.searchParams.get('sinceRev')), Number(url.searchParams.get('waitMs')), response)
    else sendJson(response, {}, 404)
  }

  private _range (held: Pick<StoreCopy, 'items' | 'revision'>, prefix: string, afterKey: string, response: ServerResponse): void {
    const items = held.items.filter(({ key }) => key.startsWith(prefix) && key > afterKey).sort((left, right) => left.key < right.key ? -1 : 1)
    sendJson(response, { items: items.slice(0, this.pageSize), truncated: items.length > this.pageSize, storeRevision: held.revision })
    this._onPage(++this._pages)
  }

  private _watch (prefix: string, after: number, wait: number, response: ServerResponse): void {
    if (after < this._forgottenUpTo || after > this._revision) return sendJson(response, {}, 410)
    if (this._tell(prefix, after, response)) return
    const waiting: Waiting = {
      prefix,
      after,
      response,
      timer: setTimeout(() => {
        this._waiting.delete(waiting)
        sendJson(response, { events: [], storeRevision: this._revision })
      }, wait)
    }
    this._waiting.add(waiting)
  }

  private _tell (prefix: string, after: number, response: ServerResponse): boolean {
    const events = this._history.filter(event => event.key.startsWith(prefix) && event.revision > after)
    if (events.length === 0) return false
    sendJson(response, { events, storeRevision: this._revision })
    return true
  }

  private _change (event: StoreEvent): number {
    if (event.removed === true) this._items.delete(event.key)
    else this._items.set(event.key, event)
    this._history.push(event)
    if (this.mode === 'silent') return event.revision
    for (const waiting of this._waiting) {
      if (!this._tell(waiting.prefix, waiting.after, waiting.response)) continue
      clearTimeout(waiting.timer)
      this._waiting.delete(waiting)
    }
    return event.revision
  }
}
