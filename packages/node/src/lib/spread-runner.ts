/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Carries out the effects of the spread of published documents, for either role: reads from the platform, comparisons
 * with peers and pushes to them.
 */
import { Spread, type SpreadEffect, type SpreadSelf, type Topic, type PeerRequest } from '@drumdrift/core'
import type { Log } from './observe/log.js'
import type { Counters } from './observe/metrics.js'
import type { Responder } from './peer/connection.js'
import type { PeerPool } from './peer/pool.js'
import { runPeriodically, type PeriodicTask } from './periodic-tasks.js'
import type { Platform } from './platform/platform-client.js'

/** What a spread runner uses. */
export interface SpreadRunnerDependencies {
  readonly self: SpreadSelf
  readonly platform: Platform
  readonly pool: PeerPool
  readonly log: Log
  readonly counters: Counters
  readonly onAdopted: (topic: Topic) => void
}

/** The interval of ticks, in milliseconds. */
const TICK_INTERVAL = 100
/** The timeout of comparisons and pushes, in milliseconds. */
const COMPARE_TIMEOUT = 1_000

/** Holds the published documents of one process and exchanges them with peers. */
export class SpreadRunner {
  readonly spread: Spread
  private readonly _ticks: PeriodicTask

  constructor (private readonly _dependencies: SpreadRunnerDependencies) {
    this.spread = new Spread(_dependencies.self, Math.random, performance.now())
    this._ticks = runPeriodically(() => this._applyEffects(this.spread.tick(performance.now())), TICK_INTERVAL)
  }

  close (): void { this._ticks.close() }

  /** Answers a peer's comparison. If this process is behind the peer, compares in turn. */
  handleCompare (request: Extract<PeerRequest, { type: 'compare' }>, responder: Responder): void {
    const now = performance.now()
    const { reply, behind } = this.spread.compared(request.note, now)
    responder.send({ type: 'documents', documents: reply, note: this.spread.note(now) })
    if (behind) this._compare(request.address)
  }

  /** Receives the documents that a peer pushed. */
  handlePush (request: Extract<PeerRequest, { type: 'push' }>, responder: Responder): void {
    this._applyEffects(this.spread.received(request.documents, 'pushed', performance.now()))
    responder.send({ type: 'done' })
  }

  private _applyEffects (effects: readonly SpreadEffect[]): void {
    for (const effect of effects) this._handlers[effect.type](effect as never)
  }

  private readonly _handlers: { readonly [Type in SpreadEffect['type']]: (effect: Extract<SpreadEffect, { type: Type }>) => void } = {
    'read-service': ({ topic, after, watch }) => { this._read(topic, after, watch) },
    compare: ({ address }) => { this._compare(address) },
    push: ({ address, documents }) => { this._push(address, documents) },
    adopted: ({ topic, revision }) => {
      this._dependencies.log.info('revision-adopted', { topic, revision })
      this._dependencies.onAdopted(topic)
    },
    refused: ({ topic, failure }) => {
      this._dependencies.counters.add('documents_refused')
      this._dependencies.log.error('document-refused', { topic, reason: failure.reason, detail: failure.detail })
    }
  }

  private async _read (topic: Topic, after: number, watch: boolean): Promise<void> {
    this._dependencies.counters.add('platform_reads')
    const answer = await this._dependencies.platform.read(topic, after, watch)
    this._applyEffects(this.spread.serviceAnswered(topic, answer, performance.now()))
  }

  private async _compare (address: string): Promise<void> {
    const request: PeerRequest = { type: 'compare', note: this.spread.note(performance.now()), address: this._dependencies.self.address }
    try {
      const { reply } = await this._dependencies.pool.call(address, request, { timeout: COMPARE_TIMEOUT })
      if (reply.type !== 'documents') return
      const now = performance.now()
      this._applyEffects(this.spread.received(reply.documents, 'compared', now))
      this._applyEffects(this.spread.answered(address, reply.note, now))
    } catch {
      this._dependencies.counters.add('comparisons_failed')
      this._applyEffects(this.spread.unanswered(address, performance.now()))
    }
  }

  private async _push (address: string, documents: Extract<SpreadEffect, { type: 'push' }>['documents']): Promise<void> {
    try {
      await this._dependencies.pool.call(address, { type: 'push', documents }, { timeout: COMPARE_TIMEOUT })
    } catch {
      this._dependencies.counters.add('pushes_failed')
    }
  }
}
