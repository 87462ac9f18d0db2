/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Switches one engine between versions. It switches only to a complete, verified version, after the previous wave has
 * finished and all requests in flight have ended. An engine counts as serving only on its own report.
 *
 * Before an agent sends any load order, it takes the engine over with a fencing token above the engine's last one. The
 * engine then refuses orders from an earlier agent that resumes late, which tells that agent that it has been replaced.
 */
import type { AdmissionController } from './admission.js'
import type { InstanceRecord } from './documents.js'
import { previousWave, SwitchGate, type SwitchProgress } from './rollout.js'

/** The state that an engine reports. */
export interface EngineReport {
  /** The manifest digest that is served; empty for none. */
  readonly version: string
  /** The manifest digest being loaded; empty for none. */
  readonly loading: string
  /** The manifest digest of the last failed load; empty for none. */
  readonly failed: string
  readonly fence: number
  /** Requests in flight at the engine. The report lags behind. */
  readonly running: number
}

/** The version that the engine is to serve. */
export interface SwitchTarget {
  readonly manifestDigest: string
  /** The fraction of a zone's engines that may switch concurrently. */
  readonly switchFraction: number
}

/** The inputs to a decision of the agent. */
export interface SwitchInputs {
  readonly target: SwitchTarget | undefined
  /** The manifest digest of the version that is held completely and verified; empty for none. */
  readonly wholeDigest: string
  /** The members of the pool that are listed as live. */
  readonly members: readonly InstanceRecord[]
  /** The configured digests of the pool's model. Only these may be served. */
  readonly configuredDigests: ReadonlySet<string>
}

/** The result of a load order. `refused-here`: the agent found that the engine lost chunks and sent no order. */
export type LoadResult = 'ordered' | 'stale-fence' | 'refused' | 'refused-here' | 'unreachable'

/** The result of a take-over. */
export type TakeOverResult = 'taken' | 'stale-fence' | 'unreachable'

/** An action for the caller to perform or log. */
export type SwitchEffect =
  | { readonly type: 'take-over', readonly fence: number }
  /** Another agent has taken the engine over, or may have; this agent must stop. */
  | { readonly type: 'replaced', readonly fence: number }
  | { readonly type: 'ask-progress', readonly instances: readonly string[], readonly digest: string }
  | { readonly type: 'order-load', readonly digest: string, readonly fence: number }
  | { readonly type: 'began', readonly digest: string }
  | { readonly type: 'switched', readonly digest: string }
  | { readonly type: 'load-failed', readonly digest: string }
  | { readonly type: 'halted', readonly digest: string }

/** Predecessors queried per round and per second. They bound the control traffic of a large wave. */
const MAX_QUERIES_PER_ROUND = 32
const QUERIES_PER_SECOND = 16
/** The delay before a failed load is retried, in milliseconds. */
const LOAD_RETRY_MILLISECONDS = 5_000
/** The delay before an unanswered order is resent, in milliseconds. */
const ORDER_RETRY_MILLISECONDS = 500
/**
 * The number of running requests that an engine reports lags behind. For this long after a take-over, in milliseconds,
 * the report may not include requests of the previous agent.
 */
const REPORT_LAG_MILLISECONDS = 1_500
/**
 * An agent that has not yet taken its engine over and sees a gap of this length between two steps, in milliseconds, was
 * paused and may have been replaced.
 */
const PAUSE_THRESHOLD_MILLISECONDS = 2_500

/** The version switch of one engine. */
export class EngineSwitch {
  private _gate = new SwitchGate()
  private _gateDigest = ''
  private _report: EngineReport | undefined
  /** The digest of the load that was ordered and not yet reported as finished; empty for none. */
  private _orderedDigest = ''
  private _failedDigest = ''
  private _retryAt = 0
  private _halted = false
  private _nextQueryAt = 0
  private _fence = 0
  private _takenOverAt = 0
  private _replaced = false
  private _lastStepAt: number

  /**
   * @param _self The agent's instance.
   * @param _admission The admission control, closed while the engine switches or serves no configured version.
   * @param now The start time of the agent.
   */
  constructor (private readonly _self: string, private readonly _admission: AdmissionController, now: number) {
    this._lastStepAt = now
  }

  /** The engine's last report; `undefined` if it could not be reached. */
  get engine (): EngineReport | undefined { return this._report }
  /** Whether the rollout is halted because engines in the previous wave failed to load. */
  get halted (): boolean { return this._halted }
  /** The digest of the version that this engine failed to load; empty for none. */
  get failed (): string { return this._failedDigest }

  /** The fencing token of this agent's orders; 0 until it has taken the engine over. */
  get fence (): number { return this._fence }

  /** The progress of this engine with a version, queried by the next wave. */
  progress (digest: string): SwitchProgress {
    if (this._failedDigest === digest) return 'failed'
    return this._report?.version === digest && !this._admission.switching ? 'serving' : 'waiting'
  }

  /** Records the progress that a predecessor reported. */
  progressReported (instance: string, progress: SwitchProgress, now: number): void {
    this._gate.report(instance, progress, now)
  }

  /**
   * Processes a poll of the engine and returns the next actions.
   *
   * @param report The engine's report; `undefined` if the engine could not be reached.
   * @example
   * for (const effect of engineSwitch.step(await engine.state(), situation, now)) carryOut(effect)
   */
  step (report: EngineReport | undefined, situation: SwitchInputs, now: number): SwitchEffect[] {
    this._report = report
    const gap = now - this._lastStepAt
    this._lastStepAt = now
    if (this._replaced) return []
    if (this._fence === 0) return this._takeOver(report, gap)
    if (report !== undefined && report.fence > this._fence) return this._stopReplaced(report.fence)
    const effects = this._observe(situation.configuredDigests, now)
    return [...effects, ...this._advance(situation, now)]
  }

  /**
   * Processes the result of a take-over. A stale fence means that another agent took over first. Only the platform knows
   * which of the two is older, so this one stops.
   */
  takeOverAnswered (fence: number, result: TakeOverResult, now: number): SwitchEffect[] {
    if (result === 'stale-fence') return this._stopReplaced(fence)
    if (result === 'unreachable' || this._replaced) return []
    this._fence = fence
    this._takenOverAt = now
    return []
  }

  /** Processes the result of a load order. Admission stays closed only if the order was accepted or may have been. */
  loadAnswered (digest: string, result: LoadResult, now: number): void {
    if (result === 'ordered') {
      this._orderedDigest = digest
      return
    }
    if (result === 'unreachable') {
      // The engine may have accepted the order, so admission stays closed and the idempotent order is sent again.
      this._retryAt = now + ORDER_RETRY_MILLISECONDS
      return
    }
    this._admission.setSwitching(false)
    this._retryAt = now + (result === 'refused-here' ? ORDER_RETRY_MILLISECONDS : LOAD_RETRY_MILLISECONDS)
    if (result === 'refused') this._failedDigest = digest
  }

  /**
   * Opens admission only while the engine reports a configured version and loads no other, and checks for the end of an
   * ordered load.
   */
  private _observe (configuredDigests: ReadonlySet<string>, now: number): SwitchEffect[] {
    const report = this._report
    const configured = report !== undefined && report.version !== '' && configuredDigests.has(report.version)
    this._admission.setServing(configured && report.loading === '')
    if (report === undefined || this._orderedDigest === '' || report.loading !== '') return []
    const digest = this._orderedDigest
    if (report.version === digest) return this._finish(digest)
    return report.failed === digest ? this._fail(digest, now) : []
  }

  private _advance (situation: SwitchInputs, now: number): SwitchEffect[] {
    const { target, wholeDigest } = situation
    const report = this._report
    if (target === undefined || report === undefined || this._orderedDigest !== '' || report.loading !== '') return []
    const wanted = target.manifestDigest
    if (report.version === wanted || wholeDigest !== wanted) return this._reopenAdmission()
    if (this._failedDigest === wanted && (now < this._retryAt || report.version !== '')) return this._reopenAdmission()
    if (now < this._retryAt) return []
    return this._admission.switching ? this._orderLoad(target, report, now) : this._queryPredecessors(target, situation.members, report, now)
  }

  /**
   * Uses the fence of the latest report plus one. If another agent takes over in between, the engine refuses the
   * take-over.
   */
  private _takeOver (report: EngineReport | undefined, gap: number): SwitchEffect[] {
    if (gap > PAUSE_THRESHOLD_MILLISECONDS) return this._stopReplaced(report?.fence ?? 0)
    return report === undefined ? [] : [{ type: 'take-over', fence: report.fence + 1 }]
  }

  /** Stops this agent permanently: an agent that has been replaced admits no requests and sends no orders. */
  private _stopReplaced (fence: number): SwitchEffect[] {
    this._admission.leave('stopped')
    this._replaced = true
    return [{ type: 'replaced', fence }]
  }

  /** Reopens admission when there is no version to switch to. */
  private _reopenAdmission (): SwitchEffect[] {
    this._admission.setSwitching(false)
    return []
  }

  private _queryPredecessors (target: SwitchTarget, members: readonly InstanceRecord[], report: EngineReport, now: number): SwitchEffect[] {
    if (this._gateDigest !== target.manifestDigest) {
      this._gate = new SwitchGate()
      this._gateDigest = target.manifestDigest
    }
    const predecessors = previousWave(this._self, members, target.switchFraction, target.manifestDigest)
    const decision = this._gate.decide(predecessors, !this._admission.serving, now)
    const halts = decision.type === 'halt' && !this._halted
    this._halted = decision.type === 'halt'
    if (decision.type === 'go') {
      this._admission.setSwitching(true)
      return [{ type: 'began', digest: target.manifestDigest }, ...this._orderLoad(target, report, now)]
    }
    if (now < this._nextQueryAt && !halts) return []
    const instances = (decision.type === 'wait' ? decision.ask : decision.failed).slice(0, MAX_QUERIES_PER_ROUND)
    this._nextQueryAt = now + instances.length / QUERIES_PER_SECOND * 1000
    const ask: SwitchEffect = { type: 'ask-progress', instances, digest: target.manifestDigest }
    return halts ? [{ type: 'halted', digest: target.manifestDigest }, ask] : [ask]
  }

  /**
   * Orders the load once no requests are in flight by both the agent's and the engine's count. Admission is already
   * closed.
   */
  private _orderLoad (target: SwitchTarget, report: EngineReport, now: number): SwitchEffect[] {
    const settled = report.version === '' || now - this._takenOverAt >= REPORT_LAG_MILLISECONDS
    if (this._admission.running > 0 || report.running > 0 || !settled) return []
    return [{ type: 'order-load', digest: target.manifestDigest, fence: this._fence }]
  }

  private _finish (digest: string): SwitchEffect[] {
    this._orderedDigest = ''
    this._failedDigest = ''
    this._admission.setSwitching(false)
    return [{ type: 'switched', digest }]
  }

  private _fail (digest: string, now: number): SwitchEffect[] {
    this._orderedDigest = ''
    this._failedDigest = digest
    this._retryAt = now + LOAD_RETRY_MILLISECONDS
    this._admission.setSwitching(false)
    return [{ type: 'load-failed', digest }]
  }
}
