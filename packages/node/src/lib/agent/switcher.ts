/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Polls the engine beside this agent several times a second and carries out the effects of the engine switch.
 */
import { EngineSwitch, type AdmissionController, type EngineReport, type SwitchEffect, type SwitchProgress, type SwitchInputs } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { PeerPool } from '../peer/pool.js'
import type { Engine } from './engine-client.js'

/** What a switcher uses. */
export interface SwitcherDependencies {
  readonly instance: string
  readonly engine: Engine
  readonly admissionController: AdmissionController
  readonly pool: PeerPool
  readonly log: Log
  readonly switchInputs: () => SwitchInputs
  /** Called if another agent has taken the engine over. This process must end; the platform starts a new one if the slot is its own. */
  readonly onReplaced: () => void
  /** Returns whether the engine still holds the complete version; checked right before a load. */
  readonly confirmComplete: () => Promise<boolean>
  readonly onServing: (manifestDigest: string, fence: number) => void
}

/** The interval of polls, in milliseconds. */
const POLL_INTERVAL = 200
/** The timeout of a request for a peer's progress, in milliseconds. */
const PROGRESS_TIMEOUT = 500

/** Carries out the switches of one engine. */
export class Switcher {
  private readonly _switch: EngineSwitch
  private _polling = false
  private readonly _timer: NodeJS.Timeout

  constructor (private readonly _dependencies: SwitcherDependencies) {
    this._switch = new EngineSwitch(_dependencies.instance, _dependencies.admissionController, performance.now())
    this._timer = setInterval(() => { this.poll() }, POLL_INTERVAL)
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
      const report = await this._dependencies.engine.state()
      for (const effect of this._switch.step(report, this._dependencies.switchInputs(), performance.now())) await this._applyEffect(effect)
    } finally {
      this._polling = false
    }
  }

  private async _applyEffect (effect: SwitchEffect): Promise<void> {
    await (this._handlers[effect.type] as (effect: SwitchEffect) => void | Promise<void>)(effect)
  }

  private readonly _handlers: { readonly [Type in SwitchEffect['type']]: (effect: Extract<SwitchEffect, { type: Type }>) => void | Promise<void> } = {
    'take-over': async ({ fence }) => {
      const result = await this._dependencies.engine.takeOver(fence)
      this._dependencies.log.info('engine-taken-over', { result, fence })
      for (const effect of this._switch.takeOverAnswered(fence, result, performance.now())) await this._applyEffect(effect)
    },
    replaced: ({ fence }) => {
      this._dependencies.log.error('replaced', { fence })
      this._dependencies.onReplaced()
    },
    'ask-progress': async ({ instances, digest }) => { await Promise.all(instances.map(async instance => await this._requestProgress(instance, digest))) },
    'order-load': async ({ digest, fence }) => { await this._load(digest, fence) },
    began: ({ digest }) => this._dependencies.log.info('switch-begins', { manifest: digest, running: this._dependencies.admissionController.running }),
    switched: ({ digest }) => {
      this._dependencies.log.info('switched', { manifest: digest })
      this._dependencies.onServing(digest, this._switch.fence)
    },
    'load-failed': ({ digest }) => this._dependencies.log.error('load-failed', { manifest: digest }),
    halted: ({ digest }) => this._dependencies.log.error('rollout-halted', { manifest: digest })
  }

  private async _load (digest: string, fence: number): Promise<void> {
    const result = await this._dependencies.confirmComplete() ? await this._dependencies.engine.load(digest, fence) : 'refused-here'
    if (result !== 'ordered') this._dependencies.log.warn('load-refused', { result, fence })
    this._switch.loadAnswered(digest, result, performance.now())
  }

  private async _requestProgress (instance: string, digest: string): Promise<void> {
    const address = this._dependencies.switchInputs().members.find(member => member.instance === instance)?.address
    const progress = address === undefined ? 'unreachable' : await this._requestProgressFrom(address, digest)
    this._switch.progressReported(instance, progress, performance.now())
  }

  private async _requestProgressFrom (address: string, digest: string): Promise<SwitchProgress> {
    try {
      const { reply } = await this._dependencies.pool.call(address, { type: 'progress', digest }, { timeout: PROGRESS_TIMEOUT })
      return reply.type === 'progress' ? reply.progress : 'unreachable'
    } catch {
      return 'unreachable'
    }
  }
}
