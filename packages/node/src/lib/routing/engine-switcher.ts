/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Polls the agent's engine several times a second, publishes its load, and orders it to load the wanted version when the
 * version switch decides to.
 */
import {
  LoadOrders, MAX_VERIFICATION_AGE, prefillRate, UnreadTokenEstimator, typicalGenerationTime, VersionSwitch, type LoadReport, type LoadTrust, type ModelVersion, type OrderResult, type PoolDescription, type ReadBack, type SwitchPosition, type SwitchView
} from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { Counters } from '../observe/metrics.js'
import { runPeriodically, type PeriodicTask } from '../periodic-tasks.js'
import { identityOf, type EngineReport, type LoadableEngine } from './ports.js'

/** The wanted version and the version that is staged. */
export interface SwitchSituation {
  /** The version that the engine is to load next. */
  readonly wanted: ModelVersion | undefined
  /** See `SwitchView`. */
  readonly publishedAt: number | undefined
  /** The identity of the completely staged version; empty for none. */
  readonly whole: string
}

/** The state of the staging memory. */
export interface StagingState {
  /** See `PlacedStaging`. */
  readonly changedAt: number
  readonly settled: boolean
  readonly lastReadBack: ReadBack | undefined
}

/** Dependencies and settings of an {@link EngineSwitcher}. */
export interface EngineSwitcherDependencies {
  readonly engine: LoadableEngine
  readonly log: Log
  readonly counters: Counters
  /** See `VersionSwitch`; in milliseconds. */
  readonly versionBound: number
  readonly situation: () => SwitchSituation
  /** The engine's position in the switch order of its zone. It is costly, so it is computed only where the decision depends on it. */
  readonly turn: () => SwitchPosition
  /** Verifies the staged version again; returns `false` if chunks are missing or corrupt. */
  readonly confirmWhole: () => Promise<boolean>
  readonly staging: StagingState
  readonly onLoad: (load: LoadReport) => void
  /** Called when the engine has restarted. */
  readonly onEngineRestarted: () => void
  /** Called after a poll of the engine, before the switch is evaluated. */
  readonly onPolled: () => void
  /** The description of the engine pool; `undefined` until it is known. */
  readonly pool: () => PoolDescription | undefined
  /** Milliseconds until the wanted version is completely staged: 0 if it already is, `undefined` if unknown. */
  readonly timeToWhole: () => number | undefined
  /** The same, estimated also while some chunks are not known at any peer. */
  readonly estimatedTimeToWhole: () => number | undefined
}

/**
 * Poll interval of a busy engine, in milliseconds: about one forward pass. In the simulation of a busy pool (`policy` benchmark,
 * 84 engines, 98 entries, 375 requests a second), 0.93 of the credit is earned, and 0.89 with half as many polls.
 */
const POLL_INTERVAL = 50
/**
 * Poll interval of a less busy engine, in milliseconds, and the share of slots in use below which an engine counts as such. Transfers
 * and the switch are evaluated at that rate at any load. Polls of an engine that is less than half full yield little, and each costs
 * an agent 0.7 ms of processor time.
 */
const LIGHT_LOAD_POLL_INTERVAL = 100
const LIGHT_LOAD_SHARE = 0.5
/**
 * The last engine of a zone switches this long before the version bound, in milliseconds. From then on entries send no new
 * requests to the old version, so an engine that still serves it should switch at once.
 */
export const SWITCH_LEAD = 400

/** The field of a load report, absent if there was no doubt. */
function verificationOf (trust: LoadTrust, wasCleared: boolean): Pick<LoadReport, 'verified'> {
  return trust === 'verified' && !wasCleared ? {} : { verified: trust === 'verified' }
}

/** Polls the engine of one agent and switches it to the wanted version. */
export class EngineSwitcher {
  private _switch: VersionSwitch
  private _orders = new LoadOrders(performance.now())
  private readonly _polls: PeriodicTask
  private _interval = LIGHT_LOAD_POLL_INTERVAL
  private _unread = new UnreadTokenEstimator()
  private _report: EngineReport | undefined
  private _polling = false
  /** Milliseconds of polls since transfers and the switch were last evaluated. */
  private _sinceEvaluation = 0
  private _switchDue = true
  private _ordering = false
  private _checking = false
  private _reachable = true
  /** Start time of the engine, as last reported. */
  private _engineStart: number | undefined

  constructor (private readonly _dependencies: EngineSwitcherDependencies) {
    this._switch = this._newSwitch()
    this._polls = runPeriodically(() => { this._tick() }, this._interval)
  }

  close (): void { this._polls.close() }

  /** Whether the engine is executing an order, or may take one, so that the staging memory must not change. */
  get ordering (): boolean { return this._ordering || this._orders.holdsStaging || this._report?.busy === true }

  /** Whether the engine has running or waiting requests. */
  get hasRequests (): boolean { return this._report !== undefined && this._report.running + this._report.waiting > 0 }

  /** Returns the version of a model that the engine serves; 0 for none. */
  version (model: string): number {
    return this._report?.models.find(held => held.model === model)?.version ?? 0
  }

  private _tick (): void {
    this._sinceEvaluation += this._interval
    if (this._sinceEvaluation >= LIGHT_LOAD_POLL_INTERVAL) this._switchDue = true
    this._poll()
  }

  /** Polls a busy engine more often. */
  private _adjustInterval (): void {
    const interval = this._busy ? POLL_INTERVAL : LIGHT_LOAD_POLL_INTERVAL
    if (interval === this._interval) return
    this._interval = interval
    this._polls.changeInterval(interval)
  }

  private get _busy (): boolean {
    const slots = this._dependencies.pool()?.slots ?? Infinity
    return this._report !== undefined && this._report.running + this._report.waiting >= LIGHT_LOAD_SHARE * slots
  }

  /** Polls the engine immediately, outside the regular interval. */
  poll (): void {
    this._switchDue = true
    this._poll()
  }

  private async _poll (): Promise<void> {
    if (this._polling) return
    this._polling = true
    try {
      const before = this._report
      const askedAt = performance.now()
      this._report = await this._dependencies.engine.report()
      this._updateReachability()
      this._detectRestart(before)
      this._updateOrders(askedAt)
      this._logVersionChange(before)
      this._publishLoad()
      this._adjustInterval()
      if (!this._switchDue) return
      this._switchDue = false
      this._sinceEvaluation = 0
      this._dependencies.onPolled()
      this._checkLoad()
      this._stepSwitch()
    } finally {
      this._polling = false
    }
  }

  private _updateReachability (): void {
    const reachable = this._report !== undefined
    if (reachable === this._reachable) return
    this._reachable = reachable
    if (reachable) this._dependencies.log.info('engine-regained')
    else this._dependencies.log.warn('engine-lost')
  }

  private _newSwitch (): VersionSwitch { return new VersionSwitch(this._dependencies.versionBound, SWITCH_LEAD) }

  /** Discards all state about the engine after it has restarted: its prompts, its orders and the contents of its staging area. */
  private _detectRestart (before: EngineReport | undefined): void {
    this._engineStart ??= before?.born ?? this._report?.born
    const born = this._report?.born
    if (born === undefined || born === this._engineStart) return
    this._dependencies.log.info('engine-started-again', { born, before: this._engineStart })
    this._engineStart = born
    this._unread = new UnreadTokenEstimator()
    this._switch = this._newSwitch()
    this._orders = new LoadOrders()
    this._dependencies.onEngineRestarted()
  }

  /** Detects orders that the engine has taken, also those whose calls failed or that an earlier agent sent. */
  private _updateOrders (askedAt: number): void {
    const { situation, staging } = this._dependencies
    const { wanted } = situation()
    if (this._report === undefined || wanted === undefined) return
    const { trust } = this._orders
    this._orders.reported({ sequence: this._report.sequence, version: this.version(wanted.model), busy: this._report.busy }, { askedAt, stagingChangedAt: staging.changedAt, now: performance.now() })
    this._logTrust(trust)
  }

  /** Reads the staged version back after a load. The polls go on meanwhile, so that entries keep being told whether the engine accepts requests. */
  private async _checkLoad (): Promise<void> {
    const { confirmWhole, staging, situation } = this._dependencies
    const { wanted, whole } = situation()
    if (this._checking || !this._orders.needsCheck || wanted === undefined || whole === '') return
    this._checking = true
    const orders = this._orders
    const isWhole = await confirmWhole().finally(() => { this._checking = false })
    const readBack = isWhole ? 'whole' : staging.lastReadBack
    // A read-back that failed, or during which the agent turned to another version, decides nothing and is repeated.
    if (orders !== this._orders || readBack === undefined || (readBack === 'whole' && !isWhole)) return
    const { trust } = orders
    orders.checked(readBack, wanted.version, staging.changedAt)
    this._logTrust(trust)
  }

  private _logTrust (before: LoadTrust): void {
    const { trust } = this._orders
    if (trust === before) return
    this._dependencies.counters.add(`loads_${trust}`)
    if (trust === 'verified') this._dependencies.log.info('engine-load-verified')
    else this._dependencies.log.warn(`engine-load-${trust}`)
  }

  private _logVersionChange (before: EngineReport | undefined): void {
    const model = this._dependencies.situation().wanted?.model
    if (model === undefined || this._report === undefined) return
    const old = before?.models.find(held => held.model === model)?.version ?? 0
    const version = this.version(model)
    if (version !== old) this._dependencies.log.info('engine-version', { model, version, before: old })
  }

  private _view (): SwitchView | undefined {
    const { wanted, publishedAt, whole } = this._dependencies.situation()
    if (wanted === undefined) return undefined
    const identity = identityOf(wanted)
    const { turn } = this._dependencies
    return {
      wanted: wanted.version,
      publishedAt,
      whole: whole === identity ? wanted.version : 0,
      wholeIn: this._dependencies.estimatedTimeToWhole(),
      engine: this._report === undefined ? undefined : { version: this.version(wanted.model), busy: this._report.busy },
      // Lazy: computed on every poll, even without a version in transfer, it took 5% of the agents' work.
      get turn () { return turn() }
    }
  }

  private _publishLoad (): void {
    const { wanted } = this._dependencies.situation()
    const view = this._view()
    if (this._report === undefined || wanted === undefined || view === undefined) return
    const { running, waiting, busy, pace, born } = this._report
    const now = performance.now()
    const unreadTokens = Math.round(this._unread.observe(this._report, prefillRate(this._dependencies.pool()), now))
    const closesAt = this._switch.plannedAt(view, now)
    const { trust, wasCleared } = this._orders
    const closesIn = closesAt === undefined ? undefined : Math.max(0, Math.round(closesAt - now))
    this._dependencies.onLoad({
      born, running, waiting, unreadTokens, version: this.version(wanted.model), accepting: !busy && !this._ordering && trust === 'verified', ...verificationOf(trust, wasCleared), pace, closesIn, opensIn: this._opensIn(this._report, wanted)
    })
  }

  /**
   * Estimates the milliseconds until the wanted version is staged, the running requests have finished and the version is loaded.
   * Returns `undefined` if it is already served or the estimate is not possible.
   */
  private _opensIn ({ running }: EngineReport, { model, version }: ModelVersion): number | undefined {
    const pool = this._dependencies.pool()
    const timeToWhole = this._dependencies.timeToWhole()
    if (pool === undefined || timeToWhole === undefined || this.version(model) >= version) return undefined
    const finishTime = running > 0 ? typicalGenerationTime(pool, running) : 0
    const warmUp = pool.models.find(({ name }) => name === model)?.warmUp ?? 0
    return Math.round(timeToWhole + finishTime + warmUp)
  }

  /** Orders a load if it is due. The polls go on meanwhile, so that entries keep being told that the engine accepts no requests. */
  private async _stepSwitch (): Promise<void> {
    if (this._ordering) return
    const { wanted, publishedAt } = this._dependencies.situation()
    const view = this._view()
    if (wanted === undefined || view === undefined) return
    const now = performance.now()
    const step = this._switch.step(view, now)
    if (step.type === 'order' && this._dependencies.staging.settled) await this._order(wanted, step.why, publishedAt === undefined ? undefined : now - publishedAt)
  }

  private async _order (wanted: ModelVersion, why: string, age: number | undefined): Promise<void> {
    this._ordering = true
    this._publishLoad()
    try {
      const sequence = this._orders.expectedSequence
      const result = await this._verifyAndOrder(wanted)
      this._switch.answered(result, performance.now())
      this._dependencies.counters.add(`orders_${result.replaceAll('-', '_')}`)
      this._dependencies.log.info('engine-ordered', { model: wanted.model, version: wanted.version, why, result, sequence, since_named: age === undefined ? undefined : Math.round(age) })
    } finally {
      this._ordering = false
    }
  }

  /** Sends the order only if the staged version has just been verified. A verification takes long if this process was suspended. */
  private async _verifyAndOrder (wanted: ModelVersion): Promise<OrderResult> {
    const { confirmWhole, engine, staging } = this._dependencies
    let verifiedAt = performance.now()
    if (!await confirmWhole()) return 'not-whole'
    if (performance.now() - verifiedAt > MAX_VERIFICATION_AGE) {
      verifiedAt = performance.now()
      if (!await confirmWhole()) return 'not-whole'
    }
    if (!staging.settled) return 'not-whole'
    const orders = this._orders
    const { trust } = orders
    orders.sent(wanted.version, verifiedAt, performance.now())
    const result = await engine.order(wanted, orders.expectedSequence)
    orders.answered(result, staging.changedAt, performance.now())
    this._logTrust(trust)
    return result
  }
}
