/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Looks at the engine beside this agent a few times a second and carries out what the switch decides.
 */
import { EngineSwitch, type AdmissionDoor, type EngineReport, type SwitchEffect, type SwitchProgress, type SwitchSituation } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { PeerPool } from '../peer/pool.js'
import type { Engine } from './engine-client.js'

/** What the switcher works with. */
export interface SwitcherParts {
  readonly instance: string
  readonly engine: Engine
  readonly door: AdmissionDoor
  readonly pool: PeerPool
  readonly log: Log
  readonly situation: () => SwitchSituation
  /** Another agent has the engine: this process is to end, and the platform to start a new one if the slot is its own. */
  readonly onReplaced: () => void
  /** Whether the engine still holds the whole version; looked at right before a load. */
  readonly confirmWhole: () => Promise<boolean>
  readonly onServing: (manifestDigest: string, fence: number) => void
}

const POLL = 200
const ASK_TIMEOUT = 500

/** The switch of one engine, carried out. */
export class Switcher {
  private readonly _switch: EngineSwitch
  private _polling = false
  private readonly _timer: NodeJS.Timeout

  constructor (private readonly _parts: SwitcherParts) {
    this._switch = new EngineSwitch(_parts.instance, _parts.door, performance.now())
    this._timer = setInterval(() => { this.poll() }, POLL)
  }

  /** The engine's last report. */
  get engine (): EngineReport | undefined { return this._switch.engine }
  /** The fence of this agent's orders and requests. */
  get fence (): number { return this._switch.fence }
  /** Whether the rollout stands still because engines before this one failed to load. */
  get halted (): boolean { return this._switch.halted }
  /** The version that this engine failed to load; empty for none. */
  get failed (): string { return this._switch.failed }

  close (): void { clearInterval(this._timer) }

  /** How far this engine is with a version, for the waves after it. */
  progress (digest: string): SwitchProgress { return this._switch.progress(digest) }

  /** Looks at the engine and does the next step, if one is due. */
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
