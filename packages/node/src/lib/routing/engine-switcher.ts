/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Looks at the engine beside the agent several times a second, tells its load, and orders it to take the wanted
 * version when the switch decides so.
 */
import {
  readRate, UnreadTokens, usualWriteTime, VersionSwitch, type LoadReport, type ModelVersion, type PoolDescription, type SwitchTurn, type SwitchView
} from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { Counters } from '../observe/metrics.js'
import { identityOf, type EngineReport, type LoadableEngine } from './ports.js'

/** What is wanted of the engine, and what is there for it. */
export interface SwitchSituation {
  /** The version that it is to take next. */
  readonly wanted: ModelVersion | undefined
  readonly heardAt: number | undefined
  /** The identity that is staged whole; empty for none. */
  readonly whole: string
}

/** What the switcher works with. */
export interface EngineSwitcherParts {
  readonly engine: LoadableEngine
  readonly log: Log
  readonly counters: Counters
  /** See `VersionSwitch`; in milliseconds. */
  readonly versionBound: number
  readonly situation: () => SwitchSituation
  /** The engine's turn among those of its zone; it takes some reckoning, so it is asked for only where it decides. */
  readonly turn: () => SwitchTurn
  /** Verifies once more what is staged; false when something is missing or spoilt. */
  readonly confirmWhole: () => Promise<boolean>
  readonly onLoad: (load: LoadReport) => void
  /** The engine has started again. */
  readonly onStartedAgain: () => void
  /** The engine was looked at. */
  readonly onLooked: () => void
  /** How engines of this pool work; nothing until that is known. */
  readonly pool: () => PoolDescription | undefined
  /** Milliseconds until the wanted version is whole here; 0 when it is, nothing when that is not known. */
  readonly timeToWhole: () => number | undefined
}

/**
 * How often a crowded engine is looked at, in milliseconds: about once in its pass. In the model of a crowded pool (`policy`
 * benchmark, 84 engines, 98 entries) 0.93 of the credit was earned at 375 requests a second, and 0.89 with half as many looks.
 */
const LOOK_PAUSE = 50
/**
 * One of so many looks is made in any case, and transfers and the switch are reckoned with it. Looks at an engine that is less than half
 * full tell little; each costs an agent 0.7 ms of processor time.
 */
const CALM_LOOKS = 2
const CALM_SHARE = 0.5
/**
 * The last engine of a zone switches so long before the bound, in milliseconds: entries give nothing to the old version from
 * then on, so an engine that still holds it does better to switch at once.
 */
const SWITCH_LEAD = 400

/** The engine of one agent. */
export class EngineSwitcher {
  private _switch: VersionSwitch
  private readonly _timer: NodeJS.Timeout
  private _unread = new UnreadTokens()
  private _report: EngineReport | undefined
  private _looking = false
  private _ticks = 0
  private _stepDue = true
  private _ordering = false
  private _reachable = true
  /** The start of the engine that was heard last. */
  private _born: number | undefined

  constructor (private readonly _parts: EngineSwitcherParts) {
    this._switch = this._newSwitch()
    this._timer = setInterval(() => { this._tick() }, LOOK_PAUSE)
  }

  close (): void { clearInterval(this._timer) }

  /** Whether the engine carries out an order, or is being given one. */
  get ordering (): boolean { return this._ordering || this._report?.busy === true }

  /** Whether the engine has requests. */
  get working (): boolean { return this._report !== undefined && this._report.running + this._report.waiting > 0 }

  /** The version of a model that the engine serves; 0 for none. */
  version (model: string): number {
    return this._report?.models.find(held => held.model === model)?.version ?? 0
  }

  private _tick (): void {
    this._ticks += 1
    if (this._ticks % CALM_LOOKS === 0) this._stepDue = true
    if (this._stepDue || this._crowded) this._look()
  }

  private get _crowded (): boolean {
    const slots = this._parts.pool()?.slots ?? Infinity
    return this._report !== undefined && this._report.running + this._report.waiting >= CALM_SHARE * slots
  }

  /** Looks at the engine now; otherwise that is done several times a second. */
  look (): void {
    this._stepDue = true
    this._look()
  }

  private async _look (): Promise<void> {
    if (this._looking) return
    this._looking = true
    try {
      const before = this._report
      this._report = await this._parts.engine.report()
      this._noteReachable()
      this._noteStart(before)
      this._noteVersion(before)
      this._tellLoad()
      if (!this._stepDue) return
      this._stepDue = false
      this._parts.onLooked()
      await this._step()
    } finally {
      this._looking = false
    }
  }

  private _noteReachable (): void {
    const reachable = this._report !== undefined
    if (reachable === this._reachable) return
    this._reachable = reachable
    if (reachable) this._parts.log.info('engine-regained')
    else this._parts.log.warn('engine-lost')
  }

  private _newSwitch (): VersionSwitch { return new VersionSwitch(this._parts.versionBound, SWITCH_LEAD) }

  /** An engine that has started again has nothing of what was known of it: its prompts, its orders, what lies in its staging area. */
  private _noteStart (before: EngineReport | undefined): void {
    this._born ??= before?.born ?? this._report?.born
    const born = this._report?.born
    if (born === undefined || born === this._born) return
    this._parts.log.info('engine-started-again', { born, before: this._born })
    this._born = born
    this._unread = new UnreadTokens()
    this._switch = this._newSwitch()
    this._parts.onStartedAgain()
  }

  private _noteVersion (before: EngineReport | undefined): void {
    const model = this._parts.situation().wanted?.model
    if (model === undefined || this._report === undefined) return
    const old = before?.models.find(held => held.model === model)?.version ?? 0
    const version = this.version(model)
    if (version !== old) this._parts.log.info('engine-version', { model, version, before: old })
  }

  private _view (): SwitchView | undefined {
    const { wanted, heardAt, whole } = this._parts.situation()
    if (wanted === undefined) return undefined
    const identity = identityOf(wanted)
    const { turn } = this._parts
    return {
      wanted: wanted.version,
      heardAt,
      whole: whole === identity ? wanted.version : 0,
      wholeIn: this._parts.timeToWhole(),
      engine: this._report === undefined ? undefined : { version: this.version(wanted.model), busy: this._report.busy },
      // Worked out at each look, though no version was on its way, it was a twentieth of what agents did.
      get turn () { return turn() }
    }
  }

  private _tellLoad (): void {
    const { wanted } = this._parts.situation()
    const view = this._view()
    if (this._report === undefined || wanted === undefined || view === undefined) return
    const { running, waiting, busy, pace, born } = this._report
    const now = performance.now()
    const unreadTokens = Math.round(this._unread.observe(this._report, readRate(this._parts.pool()), now))
    const closesAt = this._switch.plannedAt(view, now)
    const closesIn = closesAt === undefined ? undefined : Math.max(0, Math.round(closesAt - now))
    this._parts.onLoad({
      born, running, waiting, unreadTokens, version: this.version(wanted.model), accepting: !busy && !this._ordering, pace, closesIn, opensIn: this._opensIn(this._report, wanted)
    })
  }

  /** Until the wanted version is whole, what runs has ended, and the version is loaded; nothing when it is served. */
  private _opensIn ({ running }: EngineReport, { model, version }: ModelVersion): number | undefined {
    const pool = this._parts.pool()
    const timeToWhole = this._parts.timeToWhole()
    if (pool === undefined || timeToWhole === undefined || this.version(model) >= version) return undefined
    const ends = running > 0 ? usualWriteTime(pool, running) : 0
    const warmUp = pool.models.find(({ name }) => name === model)?.warmUp ?? 0
    return Math.round(timeToWhole + ends + warmUp)
  }

  private async _step (): Promise<void> {
    const { wanted, heardAt } = this._parts.situation()
    const view = this._view()
    if (wanted === undefined || view === undefined) return
    const now = performance.now()
    const step = this._switch.step(view, now)
    if (step.type === 'order') await this._order(wanted, step.why, heardAt === undefined ? undefined : now - heardAt)
  }

  private async _order (wanted: ModelVersion, why: string, age: number | undefined): Promise<void> {
    this._ordering = true
    this._tellLoad()
    try {
      const result = await this._parts.confirmWhole() ? await this._parts.engine.order(wanted) : 'not-whole'
      this._switch.answered(result, performance.now())
      this._parts.counters.add(`orders_${result.replaceAll('-', '_')}`)
      this._parts.log.info('engine-ordered', { model: wanted.model, version: wanted.version, why, result, since_named: age === undefined ? undefined : Math.round(age) })
    } finally {
      this._ordering = false
    }
  }
}
