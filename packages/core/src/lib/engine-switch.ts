/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The switch of one engine from version to version: only to a whole, verified one, when the wave before is done, and
 * only after what runs has ended. Serving is believed only from the engine's own report.
 *
 * An agent takes its engine over before it gives any order, with a fence above the engine's last: whatever an earlier
 * agent that wakes late orders after that is refused by the engine, and tells it that it has been replaced.
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

/** How a load order was answered. `refused-here`: the agent found that the engine lost chunks, and gave no order. */
export type LoadResult = 'ordered' | 'stale-fence' | 'refused' | 'refused-here' | 'unreachable'

/** How a take-over was answered. */
export type TakeOverResult = 'taken' | 'stale-fence' | 'unreachable'

/** What the shell is to do, or to log. */
export type SwitchEffect =
  | { readonly type: 'take-over', readonly fence: number }
  /** Another agent has taken the engine over, or may have: this one is to end. */
  | { readonly type: 'replaced', readonly fence: number }
  | { readonly type: 'ask-progress', readonly instances: readonly string[], readonly digest: string }
  | { readonly type: 'order-load', readonly digest: string, readonly fence: number }
  | { readonly type: 'began', readonly digest: string }
  | { readonly type: 'switched', readonly digest: string }
  | { readonly type: 'load-failed', readonly digest: string }
  | { readonly type: 'halted', readonly digest: string }

/** Predecessors asked in one round, and in a second: a large wave must not cost more than control may. */
const MOST_ASKED = 32
const ASKED_PER_SECOND = 16
/** A failed load is tried again after this, in milliseconds. */
const LOAD_RETRY_PAUSE = 5_000
/** An order that got no answer is given again after this, in milliseconds. */
const ORDER_RETRY_PAUSE = 500
/**
 * Engines report what runs late. For so long after a take-over the report may lack requests of the agent before, in
 * milliseconds.
 */
const REPORT_SETTLES = 1_500
/** An agent that has not taken its engine over and finds so long a gap in its own time was paused, and may be replaced. */
const PAUSE_SUSPECTED = 2_500

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
  private _askAt = 0
  private _fence = 0
  private _takenAt = 0
  private _replaced = false
  private _steppedAt: number

  /**
   * @param _self This agent's instance.
   * @param _door Closed here while the engine switches or serves nothing known.
   * @param now When the agent started.
   */
  constructor (private readonly _self: string, private readonly _door: AdmissionDoor, now: number) {
    this._steppedAt = now
  }

  /** The engine's last report; nothing when it could not be reached. */
  get engine (): EngineReport | undefined { return this._report }
  /** Whether the rollout stands still because engines before this one failed to load. */
  get halted (): boolean { return this._halted }
  /** The version that this engine failed to load; empty for none. */
  get failed (): string { return this._failed }

  /** The fence of this agent's orders; 0 until it has taken the engine over. */
  get fence (): number { return this._fence }

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
    const gap = now - this._steppedAt
    this._steppedAt = now
    if (this._replaced) return []
    if (this._fence === 0) return this._takeOver(report, gap)
    if (report !== undefined && report.fence > this._fence) return this._replace(report.fence)
    const effects = this._observe(situation.knownDigests, now)
    return [...effects, ...this._advance(situation, now)]
  }

  /** The take-over was answered. One that came too late found another agent: which of the two is older, only the platform knows. */
  tookOver (fence: number, result: TakeOverResult, now: number): SwitchEffect[] {
    if (result === 'stale-fence') return this._replace(fence)
    if (result === 'unreachable' || this._replaced) return []
    this._fence = fence
    this._takenAt = now
    return []
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
    this._retryAt = now + (result === 'refused-here' ? ORDER_RETRY_PAUSE : LOAD_RETRY_PAUSE)
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
    return this._door.switching ? this._load(target, report, now) : this._ask(target, situation.members, report, now)
  }

  /** The fence is taken from the report that was just made: if another agent comes between, the engine refuses it. */
  private _takeOver (report: EngineReport | undefined, gap: number): SwitchEffect[] {
    if (gap > PAUSE_SUSPECTED) return this._replace(report?.fence ?? 0)
    return report === undefined ? [] : [{ type: 'take-over', fence: report.fence + 1 }]
  }

  /** One way: an agent that has been replaced serves and orders nothing more. */
  private _replace (fence: number): SwitchEffect[] {
    this._door.leave('stopped')
    this._replaced = true
    return [{ type: 'replaced', fence }]
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
      return [{ type: 'began', digest: target.manifestDigest }, ...this._load(target, report, now)]
    }
    if (now < this._askAt && !halts) return []
    const instances = (decision.type === 'wait' ? decision.ask : decision.failed).slice(0, MOST_ASKED)
    this._askAt = now + instances.length / ASKED_PER_SECOND * 1000
    const ask: SwitchEffect = { type: 'ask-progress', instances, digest: target.manifestDigest }
    return halts ? [{ type: 'halted', digest: target.manifestDigest }, ask] : [ask]
  }

  /** The door is closed: the load is ordered once nothing runs, by the agent's count and the engine's. */
  private _load (target: SwitchTarget, report: EngineReport, now: number): SwitchEffect[] {
    const settled = report.version === '' || now - this._takenAt >= REPORT_SETTLES
    if (this._door.running > 0 || report.running > 0 || !settled) return []
    return [{ type: 'order-load', digest: target.manifestDigest, fence: this._fence }]
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
