/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Orders the engine beside this agent to switch versions: only to a whole, verified one, when the wave before is done,
 * and only after what runs has ended. Serving is believed only from the engine's own report.
 */
import { previousWave, SwitchGate, type AdmissionDoor, type InstanceRecord, type SwitchProgress } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { PeerPool } from '../peer/pool.js'
import type { Engine, EngineState } from './engine-client.js'

/** What the switcher needs to know of the wanted version. */
export interface SwitchTarget {
  readonly manifestDigest: string
  /** The configuration revision that wants it: the fence of the load order. */
  readonly fence: number
  readonly switchFraction: number
}

/** What the switcher works with. */
export interface SwitcherParts {
  readonly instance: string
  readonly engine: Engine
  readonly door: AdmissionDoor
  readonly pool: PeerPool
  readonly log: Log
  /** Members of the pool that are listed as live. */
  readonly members: () => readonly InstanceRecord[]
  /** Digests that the configuration knows for the pool's model: only these may be served. */
  readonly knownDigests: () => ReadonlySet<string>
  readonly target: () => SwitchTarget | undefined
  readonly wholeDigest: () => string
  readonly onServing: (manifestDigest: string) => void
}

const POLL = 200
const ASK_TIMEOUT = 500
/** Predecessors asked in one round. */
const MOST_ASKED = 32
const LOAD_RETRY_PAUSE = 5_000

/** The switch of one engine. */
export class Switcher {
  private _gate = new SwitchGate()
  private _gateFor = ''
  private _state: EngineState | undefined
  private _polling = false
  private _ordered = ''
  private _failed = ''
  private _retryAt = 0
  private _halted = false
  private readonly _timer: NodeJS.Timeout

  constructor (private readonly _parts: SwitcherParts) {
    this._timer = setInterval(() => { this.poll() }, POLL)
  }

  /** The engine's last report. */
  get engine (): EngineState | undefined { return this._state }
  /** Whether the rollout stands still because engines before this one failed to load. */
  get halted (): boolean { return this._halted }
  /** The version that this engine failed to load; empty for none. */
  get failed (): string { return this._failed }

  close (): void { clearInterval(this._timer) }

  /** How far this engine is with a version, for the waves after it. */
  progress (digest: string): SwitchProgress {
    if (this._failed === digest) return 'failed'
    return this._state?.version === digest && !this._parts.door.switching ? 'serving' : 'waiting'
  }

  /** Looks at the engine and does the next step, if one is due. */
  async poll (): Promise<void> {
    if (this._polling) return
    this._polling = true
    try {
      this._state = await this._parts.engine.state()
      this._observe()
      await this._advance()
    } finally {
      this._polling = false
    }
  }

  /** The door is open exactly when the engine reports a version that the configuration knows. */
  private _observe (): void {
    const state = this._state
    const { door } = this._parts
    const known = state !== undefined && state.version !== '' && this._parts.knownDigests().has(state.version)
    door.setServing(known && state.loading === '')
    if (state === undefined || this._ordered === '' || state.loading !== '') return
    if (state.version === this._ordered) this._finish('switched')
    else if (state.failed === this._ordered) this._fail()
  }

  private async _advance (): Promise<void> {
    const target = this._parts.target()
    const state = this._state
    if (target === undefined || state === undefined || this._ordered !== '') return
    const wanted = target.manifestDigest
    if (state.version === wanted || this._parts.wholeDigest() !== wanted) return
    if (this._failed === wanted && performance.now() < this._retryAt) return
    if (state.loading === '' && await this._mayGo(target, state)) await this._switch(target)
  }

  private async _mayGo (target: SwitchTarget, state: EngineState): Promise<boolean> {
    if (this._gateFor !== target.manifestDigest) {
      this._gate = new SwitchGate()
      this._gateFor = target.manifestDigest
    }
    if (this._parts.door.switching) return true
    if (this._failed === target.manifestDigest && state.version !== '') return false
    const predecessors = previousWave(this._parts.instance, this._parts.members(), target.switchFraction, target.manifestDigest)
    const decision = this._gate.decide(predecessors, !this._parts.door.serving, performance.now())
    this._noteHalt(decision.type === 'halt', target.manifestDigest)
    const ask = decision.type === 'wait' ? decision.ask : decision.type === 'halt' ? decision.failed : []
    await this._ask(ask.slice(0, MOST_ASKED), target.manifestDigest)
    return decision.type === 'go'
  }

  private async _ask (instances: readonly string[], digest: string): Promise<void> {
    await Promise.all(instances.map(async instance => {
      this._gate.report(instance, await this._askOne(instance, digest), performance.now())
    }))
  }

  private async _askOne (instance: string, digest: string): Promise<SwitchProgress> {
    const address = this._parts.members().find(member => member.instance === instance)?.address
    if (address === undefined) return 'unreachable'
    try {
      const { reply } = await this._parts.pool.call(address, { type: 'progress', digest }, { timeout: ASK_TIMEOUT })
      return reply.type === 'progress' ? reply.progress : 'unreachable'
    } catch {
      return 'unreachable'
    }
  }

  /** Closes the door, waits for what runs to end, then orders the load. */
  private async _switch (target: SwitchTarget): Promise<void> {
    const { door, engine, log } = this._parts
    if (!door.switching) log.info('switch-begins', { manifest: target.manifestDigest, running: door.running })
    door.setSwitching(true)
    if (door.running > 0 || (this._state?.running ?? 0) > 0) return
    const result = await engine.load(target.manifestDigest, target.fence)
    if (result === 'ordered') {
      this._ordered = target.manifestDigest
      return
    }
    log.warn('load-refused', { result, fence: target.fence })
    door.setSwitching(false)
    this._retryAt = performance.now() + LOAD_RETRY_PAUSE
    if (result === 'refused') this._failed = target.manifestDigest
  }

  private _finish (event: string): void {
    this._parts.log.info(event, { manifest: this._ordered })
    const digest = this._ordered
    this._ordered = ''
    this._failed = ''
    this._parts.door.setSwitching(false)
    this._parts.onServing(digest)
  }

  private _fail (): void {
    this._parts.log.error('load-failed', { manifest: this._ordered })
    this._failed = this._ordered
    this._ordered = ''
    this._retryAt = performance.now() + LOAD_RETRY_PAUSE
    this._parts.door.setSwitching(false)
  }

  private _noteHalt (halted: boolean, digest: string): void {
    if (halted && !this._halted) this._parts.log.error('rollout-halted', { manifest: digest })
    this._halted = halted
  }
}
