/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Stand-in for the platform's configuration service and instance list: documents with revisions, for reads and long polls. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Published, Topic } from '@drumdrift/core'
import { HttpService, sendJson } from './http-service.js'

interface Watch {
  readonly after: number
  readonly response: ServerResponse
  readonly timer: NodeJS.Timeout
}

const MAX_WAIT_MILLISECONDS = 30_000

/** Serves one published topic. */
export class PublishedService extends HttpService {
  /** Publication time of each revision, in milliseconds of `performance.now()`. */
  readonly publishedAt = new Map<number, number>()
  private readonly _history: Published[] = []
  private readonly _watches = new Set<Watch>()

  /**
   * @param lag Milliseconds between the publication of a revision and its visibility to readers.
   */
  constructor (private readonly _topic: Topic, private readonly _source: string, callsPerSecond?: number, private readonly _lag = 0) {
    super(callsPerSecond)
  }

  /** The newest visible revision; 0 before the first. */
  get revision (): number { return this._history.at(-1)?.revision ?? 0 }

  /**
   * Publishes the next revision.
   *
   * @example
   * service.publish({ models: {}, pools: {}, services: {}, organisations: {} })
   */
  publish (document: unknown): number {
    const revision = this.revision + 1
    const published = { source: this._source, revision, document }
    this.publishedAt.set(revision, performance.now())
    setTimeout(() => {
      this._history.push(published)
      this._notifyWatches()
    }, this._lag)
    return revision
  }

  protected override answer (request: IncomingMessage, response: ServerResponse): void {
    const url = new URL(request.url ?? '/', 'http://platform')
    if (url.pathname !== `/${this._topic}`) {
      response.writeHead(404).end()
      return
    }
    const after = Number(url.searchParams.get('after') ?? 0)
    const wait = Math.min(MAX_WAIT_MILLISECONDS, Number(url.searchParams.get('wait') ?? 0))
    const newest = this._visible()
    if (newest !== undefined && (newest.revision > after || this.behaviour === 'stale')) sendJson(response, newest)
    else if (wait > 0) this._watch(after, wait, response)
    else response.writeHead(304).end()
  }

  /** The document that readers get: the first revision if the service is stale, otherwise the newest. */
  private _visible (): Published | undefined {
    return this.behaviour === 'stale' ? this._history[0] : this._history.at(-1)
  }

  private _watch (after: number, wait: number, response: ServerResponse): void {
    const watch: Watch = {
      after,
      response,
      timer: setTimeout(() => {
        this._watches.delete(watch)
        if (this.behaviour === 'down') response.destroy()
        else response.writeHead(304).end()
      }, wait)
    }
    this._watches.add(watch)
    response.on('close', () => {
      clearTimeout(watch.timer)
      this._watches.delete(watch)
    })
  }

  private _notifyWatches (): void {
    if (this.behaviour !== 'normal') return
    const newest = this._visible()
    for (const watch of this._watches) {
      if (newest === undefined || newest.revision <= watch.after) continue
      clearTimeout(watch.timer)
      this._watches.delete(watch)
      sendJson(watch.response, newest)
    }
  }
}
