/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Oracles of the time from which a process refuses an older version: not later than the bound after the newer one was acknowledged,
 * and not much earlier.
 */
import { WATCH_PAUSE, WATCH_WAIT, type PublishedProcess } from './published-process.js'
import type { World } from './world.js'

/** What the oracles know of the world. */
export interface VersionSurroundings {
  readonly world: World
  readonly model: string
  readonly processes: () => readonly PublishedProcess[]
  /** Time since which the store has been stable and all links whole; `Infinity` if they are not. */
  readonly stableSince: () => number
  readonly undisturbedTime: number
}

/** Requests may begin on an older version for this time after a newer one was acknowledged, in milliseconds. */
export const VERSION_BOUND = 8_000
/** Versions whose times a process keeps. */
const MAX_VERSIONS = 16
/** How long a call and its handling take in the undisturbed network, in milliseconds. */
const MESSAGE_TIME = 60
/**
 * How much earlier than at the bound an undisturbed process may refuse an older version, in milliseconds. The process knows only that
 * the version was acknowledged after it sent the watch before: the store held both watches, and there was a pause between them.
 */
const MAX_EARLY = 2 * WATCH_WAIT + WATCH_PAUSE + 2 * MESSAGE_TIME

/** Checks the versions that are named. */
export class VersionOracles {
  private readonly _namedAt: number[] = []

  constructor (private readonly _surroundings: VersionSurroundings) {}

  /** Whether processes keep another version: as many as they keep are within the bound. */
  get mayName (): boolean { return this._namedAt.filter(at => this._surroundings.world.now - at <= VERSION_BOUND + MESSAGE_TIME).length < MAX_VERSIONS }

  /** Records that the store has acknowledged the next version, which is the first one if none was named before. */
  named (): void {
    const { world } = this._surroundings
    this._namedAt.push(world.now)
    const [version, namedAt] = [this._namedAt.length, world.now]
    world.after(VERSION_BOUND - MAX_EARLY, undefined, () => this._checkNotEarly(version, namedAt))
    world.after(VERSION_BOUND + MESSAGE_TIME, undefined, () => this._checkBound(version, namedAt))
  }

  private _checkBound (version: number, namedAt: number): void {
    const { world, model, processes, stableSince } = this._surroundings
    if (stableSince() > namedAt) return
    for (const { process, state, isJudged } of processes()) {
      if (!isJudged) continue
      const due = state.dueVersion(model, VERSION_BOUND, world.now)
      const datedAt = state.firstNewerAt(model, version - 1)
      if (due >= version && (datedAt === undefined || datedAt <= namedAt + MESSAGE_TIME)) continue
      const dated = datedAt === undefined ? 'does not know it' : `dates it ${Math.round(datedAt - namedAt)} ms later`
      world.recordViolation(`version-bound: ${process.name} allows version ${due} ${Math.round(world.now - namedAt)} ms after version ${version} was acknowledged and ${dated}`)
    }
  }

  private _checkNotEarly (version: number, namedAt: number): void {
    const { world, model, processes, stableSince, undisturbedTime } = this._surroundings
    const isCalm = ({ disturbedAt }: PublishedProcess): boolean => disturbedAt + undisturbedTime <= namedAt
    if (stableSince() + undisturbedTime > namedAt) return
    const relaysAreCalm = processes().filter(({ isRelay }) => isRelay).every(isCalm)
    for (const subject of processes()) {
      const { process, state, isRelay } = subject
      if (!isCalm(subject) || (!isRelay && !relaysAreCalm)) continue
      const due = state.dueVersion(model, VERSION_BOUND, world.now)
      if (due >= version) world.recordViolation(`version-not-early: ${process.name} refuses versions below ${due} ${Math.round(world.now - namedAt)} ms after version ${version} was acknowledged`)
    }
  }
}
