/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The switch of one engine from version to version: only to a whole, verified one, when the wave before is done, and
 * only after what runs has ended. Serving is believed only from the engine's own report.
 */
import type { AdmissionDoor } from './admission.js'
import type { InstanceRecord } from './documents.js'
import { previousWave, SwitchGate, type SwitchProgress } from './rollout.js'

/** What an engine says of itself. */
export interface EngineReport {
  /** The manifest digest that is served; empty for none. */
  readonly version: string
  /** The manifest digest being loaded; empty for none. */
  readonly loading: string
  /** The manifest digest whose load failed last; empty for none. */
  readonly failed: string
  readonly fence: number
  /** Requests in progress there; reported late. */
  readonly running: number
}

/** What is wanted of the engine. */
export interface SwitchTarget {
  readonly manifestDigest: string
  /** The configuration revision that wants it: the fence of the load order. */
  readonly fence: number
  /** The share of a zone's engines that may switch at once. */
  readonly switchFraction: number
}

/** What the agent holds and knows when it decides. */
export interface SwitchSituation {
  readonly target: SwitchTarget | undefined
  /** The manifest digest that is held whole and verified; empty for none. */
  readonly wholeDigest: string
  /** Members of the pool that are listed as live. */
  readonly members: readonly InstanceRecord[]
  /** Digests that the configuration knows for the pool's model: only these may be served. */
  readonly knownDigests: ReadonlySet<string>
}

/** How a load order was answered. */
export type LoadResult = 'ordered' | 'stale-fence' | 'refused' | 'unreachable'

/** What the shell is to do, or to log. */
export type SwitchEffect =
  | { readonly type: 'ask-progress', readonly instances: readonly string[], readonly digest: string }
  | { readonly type: 'order-load', readonly digest: string, readonly fence: number }
  | { readonly type: 'began', readonly digest: string }
  | { readonly type: 'switched', readonly digest: string }
  | { readonly type: 'load-failed', readonly digest: string }
  | { readonly type: 'halted', readonly digest: string }

/** Predecessors asked in one round. */
const MOST_ASKED = 32
/** A failed load is tried again after this, in milliseconds. */
const LOAD_RETRY_PAUSE = 5_000
/** An order that got no answer is given again after this, in milliseconds. */
const ORDER_RETRY_PAUSE = 500

/** The switch of one engine. */
export class EngineSwitch {
  private _gate = new SwitchGate()
  private _gateFor = ''
  private _report: EngineReport | undefined
  /** The digest whose load is ordered and not yet reported as done; empty for none. */
  private _ordered = ''
  private _failed = ''
  private _retryAt = 0
  private _halted = false

  /**
   * @param _self This agent's instance.
   * @param _door Closed here while the engine switches or serves nothing known.
   */
  constructor (private readonly _self: string, private readonly _door: AdmissionDoor) {}

  /** The engine's last report; nothing when it could not be reached. */
  get engine (): EngineReport | undefined { return this._report }
  /** Whether the rollout stands still because engines before this one failed to load. */
  get halted (): boolean { return this._halted }
  /** The version that this engine failed to load; empty for none. */
  get failed (): string { return this._failed }

  /** How far this engine is with a version, for the waves after it. */
  progress (digest: string): SwitchProgress {
    if (this._failed === digest) return 'failed'
    return this._report?.version === digest && !this._door.switching ? 'serving' : 'waiting'
  }

  /** What a predecessor said of its own engine. */
  heard (instance: string, progress: SwitchProgress, now: number): void {
    this._gate.report(instance, progress, now)
  }

  /**
   * The engine was looked at. Returns what is to be done next.
   *
   * @param report Nothing when the engine could not be reached.
   * @example
   * for (const effect of engineSwitch.step(await engine.state(), situation, now)) carryOut(effect)
   */
  step (report: EngineReport | undefined, situation: SwitchSituation, now: number): SwitchEffect[] {
    this._report = report
    const effects = this._observe(situation.knownDigests, now)
    return [...effects, ...this._advance(situation, now)]
  }

  /** The load order was answered. Only an accepted order keeps the door closed. */
  loadAnswered (digest: string, result: LoadResult, now: number): void {
    if (result === 'ordered') {
      this._ordered = digest
      return
    }
    if (result === 'unreachable') {
      // The engine may have taken the order: the door stays closed, and the order, which may repeat, is given again.
      this._retryAt = now + ORDER_RETRY_PAUSE
      return
    }
    this._door.setSwitching(false)
    this._retryAt = now + LOAD_RETRY_PAUSE
    if (result === 'refused') this._failed = digest
  }

  /** The door is open exactly when the engine reports a version that the configuration knows. */
  private _observe (knownDigests: ReadonlySet<string>, now: number): SwitchEffect[] {
    const report = this._report
    const known = report !== undefined && report.version !== '' && knownDigests.has(report.version)
    this._door.setServing(known && report.loading === '')
    if (report === undefined || this._ordered === '' || report.loading !== '') return []
    const digest = this._ordered
    if (report.version === digest) return this._finish(digest)
    return report.failed === digest ? this._fail(digest, now) : []
  }

  private _advance (situation: SwitchSituation, now: number): SwitchEffect[] {
    const { target, wholeDigest } = situation
    const report = this._report
    if (target === undefined || report === undefined || this._ordered !== '' || report.loading !== '') return []
    const wanted = target.manifestDigest
    if (report.version === wanted || wholeDigest !== wanted) return this._stay()
    if (this._failed === wanted && (now < this._retryAt || report.version !== '')) return this._stay()
    if (now < this._retryAt) return []
    return this._door.switching ? this._load(target, report) : this._ask(target, situation.members, report, now)
  }

  /** Nothing is to be switched to (any more): what was closed for it opens again. */
  private _stay (): SwitchEffect[] {
    this._door.setSwitching(false)
    return []
  }

  private _ask (target: SwitchTarget, members: readonly InstanceRecord[], report: EngineReport, now: number): SwitchEffect[] {
    if (this._gateFor !== target.manifestDigest) {
      this._gate = new SwitchGate()
      this._gateFor = target.manifestDigest
    }
    const predecessors = previousWave(this._self, members, target.switchFraction, target.manifestDigest)
    const decision = this._gate.decide(predecessors, !this._door.serving, now)
    const halts = decision.type === 'halt' && !this._halted
    this._halted = decision.type === 'halt'
    if (decision.type === 'go') {
      this._door.setSwitching(true)
      return [{ type: 'began', digest: target.manifestDigest }, ...this._load(target, report)]
    }
    const instances = (decision.type === 'wait' ? decision.ask : decision.failed).slice(0, MOST_ASKED)
    const ask: SwitchEffect = { type: 'ask-progress', instances, digest: target.manifestDigest }
    return halts ? [{ type: 'halted', digest: target.manifestDigest }, ask] : [ask]
  }

  /** The door is closed: the load is ordered once nothing runs, by the agent's count and the engine's. */
  private _load (target: SwitchTarget, report: EngineReport): SwitchEffect[] {
    if (this._door.running > 0 || report.running > 0) return []
    return [{ type: 'order-load', digest: target.manifestDigest, fence: target.fence }]
  }

  private _finish (digest: string): SwitchEffect[] {
    this._ordered = ''
    this._failed = ''
    this._door.setSwitching(false)
    return [{ type: 'switched', digest }]
  }

  private _fail (digest: string, now: number): SwitchEffect[] {
    this._ordered = ''
    this._failed = digest
    this._retryAt = now + LOAD_RETRY_PAUSE
    this._door.setSwitching(false)
    return [{ type: 'load-failed', digest }]
  }
}
