/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Stand-in for the users' store: items with revisions, paginated reads by prefix, watches by long polling, and faults. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { HttpService, sendJson } from '../http-service.js'

/** A change, as the store sends it. */
interface StoreEvent {
  readonly key: string
  readonly revision: number
  readonly value?: string
  readonly removed?: true
  /** The JSON text that is sent for it, where that is not the text of this event. */
  readonly text?: string
}

interface PendingWatch {
  readonly prefix: string
  readonly after: number
  readonly response: ServerResponse
  readonly timer: NodeJS.Timeout
}

/** A snapshot of the store. */
interface StoreSnapshot {
  readonly items: readonly StoreEvent[]
  readonly history: readonly StoreEvent[]
  readonly revision: number
}

/** How the store treats requests, in addition to `behaviour`: answers, refuses with 503 or 429, or reads them and never answers. */
export type StoreMode = 'answers' | 'turns-away' | 'limits-rate' | 'silent'

/** The store on loopback. */
export class KeyValueStoreStandIn extends HttpService {
  mode: StoreMode = 'answers'
  /** Maximum number of items in one page of a read. */
  pageSize = 500
  /** Epoch that all responses carry; `undefined` to send none. */
  epoch: number | undefined = 1
  private _pageListener: (page: number) => void = () => {}
  private _pages = 0
  private _items = new Map<string, StoreEvent>()
  /** Result of reads that allow stale data; `undefined` if they get current data. */
  private _staleSnapshot: StoreSnapshot | undefined
  private _savedSnapshot: StoreSnapshot | undefined
  private _history: StoreEvent[] = []
  private _revision = 1
  private _compactedRevision = 0
  private readonly _pendingWatches = new Set<PendingWatch>()

  /** Writes a document and returns its revision. */
  put (key: string, document: unknown): number {
    const value = Buffer.from(JSON.stringify(document)).toString('base64')
    return this._applyChange({ key, revision: ++this._revision, value })
  }

  /**
   * Writes an item that is sent as the given text, whatever that is.
   *
   * @param textOf Returns the JSON text, for a revision.
   * @example
   * store.putText('servers/i-1', revision => `{"key":"servers/i-1","revision":${revision},"value":null}`)
   */
  putText (key: string, textOf: (revision: number) => string): number {
    const revision = ++this._revision
    return this._applyChange({ key, revision, text: textOf(revision) })
  }

  /** Calls a function after each page of a read, with the number of pages since this call. */
  onEachPage (run: (page: number) => void): void {
    this._pageListener = run
    this._pages = 0
  }

  remove (key: string): number {
    return this._applyChange({ key, revision: ++this._revision, removed: true })
  }

  /** Writes the configuration. */
  putConfiguration (document: unknown): number { return this.put('op/config', document) }

  /** Publishes the desired version of a model. */
  putVersion (model: string, version: number): number { return this.put(`op/version/${model}`, { model, version }) }

  /** Evacuates a zone. */
  evacuate (zone: string): number { return this.put(`op/evacuate/${zone}`, {}) }

  /** Ends the evacuation of a zone. */
  endEvacuation (zone: string): number { return this.remove(`op/evacuate/${zone}`) }

  /** Writes the record of a worker. */
  putWorker (id: string, entry: unknown): number { return this.put(`servers/${id}`, entry) }

  removeWorker (id: string): number { return this.remove(`servers/${id}`) }

  /** Freezes the result of reads that allow stale data at the current contents. */
  freezeStaleReads (): void { this._staleSnapshot = this._currentSnapshot() }

  /** Takes the snapshot that `restore` uses. */
  takeSnapshot (): void { this._savedSnapshot = this._currentSnapshot() }

  /** Restores the snapshot in the next epoch: later writes are lost and their revisions are assigned again. */
  restore (): void {
    if (this._savedSnapshot === undefined) throw new Error('no snapshot was taken')
    const { items, history, revision } = this._savedSnapshot
    this._items = new Map(items.map(item => [item.key, item]))
    this._history = [...history]
    this._revision = revision
    this.epoch = (this.epoch ?? 0) + 1
    this._closeWatches()
  }

  /** Discards the history and closes all watches. */
  compact (): void {
    this._compactedRevision = this._revision
    this._history = []
    this._closeWatches()
  }

  private _currentSnapshot (): StoreSnapshot { return { items: [...this._items.values()], history: [...this._history], revision: this._revision } }

  /** The number of watches that wait for a change. */
  get waitingWatches (): number { return this._pendingWatches.size }

  /** Cuts all waiting watches, by closing or resetting their connections. */
  cutWatches (how: 'closed' | 'reset'): void {
    this._closeWatches(({ response: { socket } }) => { how === 'closed' ? socket?.end() : socket?.resetAndDestroy() })
  }

  private _closeWatches (cut = ({ response }: PendingWatch): void => { response.destroy() }): void {
    for (const watch of this._pendingWatches) {
      clearTimeout(watch.timer)
      cut(watch)
    }
    this._pendingWatches.clear()
  }

  override close (): void {
    for (const { timer } of this._pendingWatches) clearTimeout(timer)
    super.close()
  }

  protected override setCommonHeaders (response: ServerResponse): void {
    if (this.epoch !== undefined) response.setHeader('store-era', String(this.epoch))
  }

  protected answer (request: IncomingMessage, response: ServerResponse): void {
    if (this.mode === 'silent') return
    if (this.mode === 'turns-away') return sendJson(response, {}, 503)
    if (this.mode === 'limits-rate') return sendJson(response, {}, 429)
    const url = new URL(request.url ?? '/', 'http://store')
    const prefix = url.searchParams.get('pathPrefix') ?? ''
    const stale = url.searchParams.get('allowStale') === '1' ? this._staleSnapshot : undefined
    if (url.pathname === '/api/kv-range') this._range(stale ?? { items: [...this._items.values()], revision: this._revision }, prefix, url.searchParams.get('sinceRev') ?? '', response)
    else if (url.pathname === '/api/kv-watch') this._watch(prefix, Number(url.searchParams.get('sinceRev')), Number(url.searchParams.get('waitMs')), response)
    else sendJson(response, {}, 404)
  }

  private _range (snapshot: Pick<StoreSnapshot, 'items' | 'revision'>, prefix: string, afterKey: string, response: ServerResponse): void {
    const items = snapshot.items.filter(({ key }) => key.startsWith(prefix) && key > afterKey).sort((left, right) => left.key < right.key ? -1 : 1)
    sendItems(response, 'items', items.slice(0, this.pageSize), { truncated: items.length > this.pageSize, storeRevision: snapshot.revision })
    this._pageListener(++this._pages)
  }

  private _watch (prefix: string, after: number, wait: number, response: ServerResponse): void {
    if (after < this._compactedRevision || after > this._revision) return sendJson(response, {}, 410)
    if (this._sendEvents(prefix, after, response)) return
    const watch: PendingWatch = {
      prefix,
      after,
      response,
      timer: setTimeout(() => {
        this._pendingWatches.delete(watch)
        sendJson(response, { events: [], storeRevision: this._revision })
      }, wait)
    }
    this._pendingWatches.add(watch)
  }

  private _sendEvents (prefix: string, after: number, response: ServerResponse): boolean {
    const events = this._history.filter(event => event.key.startsWith(prefix) && event.revision > after)
    if (events.length === 0) return false
    sendItems(response, 'events', events, { storeRevision: this._revision })
    return true
  }

  private _applyChange (event: StoreEvent): number {
    if (event.removed === true) this._items.delete(event.key)
    else this._items.set(event.key, event)
    this._history.push(event)
    if (this.mode === 'silent') return event.revision
    for (const watch of this._pendingWatches) {
      if (!this._sendEvents(watch.prefix, watch.after, watch.response)) continue
      clearTimeout(watch.timer)
      this._pendingWatches.delete(watch)
    }
    return event.revision
  }
}

function sendItems (response: ServerResponse, name: string, items: readonly StoreEvent[], rest: object): void {
  const texts = items.map(item => item.text ?? JSON.stringify(item))
  response.writeHead(200, { 'content-type': 'application/json' })
  response.end(`{"${name}":[${texts.join(',')}],${JSON.stringify(rest).slice(1)}`)
}
