/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Polls the engine beside this agent several times a second and carries out the effects of the engine switch.
 */
import { EngineSwitch, type AdmissionDoor, type EngineReport, type SwitchEffect, type SwitchProgress, type SwitchSituation } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { PeerPool } from '../peer/pool.js'
import type { Engine } from './engine-client.js'

/** What a switcher uses. */
export interface SwitcherParts {
  readonly instance: string
  readonly engine: Engine
  readonly door: AdmissionDoor
  readonly pool: PeerPool
  readonly log: Log
  readonly situation: () => SwitchSituation
  /** Called if another agent has taken the engine over. This process must end; the platform starts a new one if the slot is its own. */
  readonly onReplaced: () => void
  /** Returns whether the engine still holds the complete version; checked right before a load. */
  readonly confirmWhole: () => Promise<boolean>
  readonly onServing: (manifestDigest: string, fence: number) => void
}

/** The interval of polls, in milliseconds. */
const POLL = 200
/** The timeout of a request for a peer's progress, in milliseconds. */
const ASK_TIMEOUT = 500

/** Carries out the switches of one engine. */
export class Switcher {
  private readonly _switch: EngineSwitch
  private _polling = false
  private readonly _timer: NodeJS.Timeout

  constructor (private readonly _parts: SwitcherParts) {
    this._switch = new EngineSwitch(_parts.instance, _parts.door, performance.now())
    this._timer = setInterval(() => { this.poll() }, POLL)
  }

  /** The engine's latest report. */
  get engine (): EngineReport | undefined { return this._switch.engine }
  /** The fence that this agent sends with orders and requests. */
  get fence (): number { return this._switch.fence }
  /** Whether the rollout is halted because engines earlier in the order failed to load. */
  get halted (): boolean { return this._switch.halted }
  /** The version that this engine failed to load; empty for none. */
  get failed (): string { return this._switch.failed }

  close (): void { clearInterval(this._timer) }

  /** Returns the progress of this engine with a version, for the engines of later waves. */
  progress (digest: string): SwitchProgress { return this._switch.progress(digest) }

  /** Reads the state of the engine and carries out the next step, if one is due. */
  async poll (): Promise<void> {
    if (this._polling) return
    this._polling = true
    try {
      const report = await this._parts.engine.state()
      for (const effect of this._switch.step(report, this._parts.situation(), performance.now())) await this._carryOut(effect)
    } finally {
      this._polling = false
    }
  }

  private async _carryOut (effect: SwitchEffect): Promise<void> {
    await (this._handlers[effect.type] as (effect: SwitchEffect) => void | Promise<void>)(effect)
  }

  private readonly _handlers: { readonly [Type in SwitchEffect['type']]: (effect: Extract<SwitchEffect, { type: Type }>) => void | Promise<void> } = {
    'take-over': async ({ fence }) => {
      const result = await this._parts.engine.takeOver(fence)
      this._parts.log.info('engine-taken-over', { result, fence })
      for (const effect of this._switch.tookOver(fence, result, performance.now())) await this._carryOut(effect)
    },
    replaced: ({ fence }) => {
      this._parts.log.error('replaced', { fence })
      this._parts.onReplaced()
    },
    'ask-progress': async ({ instances, digest }) => { await Promise.all(instances.map(async instance => await this._ask(instance, digest))) },
    'order-load': async ({ digest, fence }) => { await this._load(digest, fence) },
    began: ({ digest }) => this._parts.log.info('switch-begins', { manifest: digest, running: this._parts.door.running }),
    switched: ({ digest }) => {
      this._parts.log.info('switched', { manifest: digest })
      this._parts.onServing(digest, this._switch.fence)
    },
    'load-failed': ({ digest }) => this._parts.log.error('load-failed', { manifest: digest }),
    halted: ({ digest }) => this._parts.log.error('rollout-halted', { manifest: digest })
  }

  private async _load (digest: string, fence: number): Promise<void> {
    const result = await this._parts.confirmWhole() ? await this._parts.engine.load(digest, fence) : 'refused-here'
    if (result !== 'ordered') this._parts.log.warn('load-refused', { result, fence })
    this._switch.loadAnswered(digest, result, performance.now())
  }

  private async _ask (instance: string, digest: string): Promise<void> {
    const address = this._parts.situation().members.find(member => member.instance === instance)?.address
    const progress = address === undefined ? 'unreachable' : await this._askAt(address, digest)
    this._switch.heard(instance, progress, performance.now())
  }

  private async _askAt (address: string, digest: string): Promise<SwitchProgress> {
    try {
      const { reply } = await this._parts.pool.call(address, { type: 'progress', digest }, { timeout: ASK_TIMEOUT })
      return reply.type === 'progress' ? reply.progress : 'unreachable'
    } catch {
      return 'unreachable'
    }
  }
}
