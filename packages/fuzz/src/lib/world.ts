/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * A discrete-event simulation of the environment of the core: a virtual clock, processes that can be killed, frozen and
 * replaced, and a network whose links can be cut. All randomness comes from one seed.
 */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

interface ScheduledEvent {
  readonly at: number
  readonly order: number
  /** The process that the event belongs to: the event is dropped if the process is dead and deferred while it is frozen. */
  readonly process: Process | undefined
  readonly run: () => void
}

/** Network latencies, in milliseconds. */
const MIN_LATENCY = 0.5
const MAX_LATENCY = 8
const CONNECTION_REFUSAL_DELAY = 2

/** One incarnation of a process. */
export class Process {
  alive = true
  frozen = false
  readonly deferred: (() => void)[] = []

  /**
   * @param skew Offset of the process's clock from the simulated time, in milliseconds.
   */
  constructor (readonly name: string, readonly availabilityZone: string, readonly incarnation: string, readonly skew: number) {}
}

function linksBetween (from: Process, to: Process): string[] {
  return [from.name, from.availabilityZone].flatMap(left => [`${left}>${to.name}`, `${left}>${to.availabilityZone}`])
}

/** The simulated environment of one run. */
export class World {
  now = 0
  /** Violations of promises; empty if all promises held. */
  readonly violations: string[] = []
  private readonly _events: ScheduledEvent[] = []
  private readonly _cuts = new Set<string>()
  /** Latencies of full links, in milliseconds. */
  private readonly _latencies = new Map<string, number>()
  /** Arrival of the last message on a full link between two processes: later messages queue behind it. */
  private readonly _queuedUntil = new Map<string, number>()
  private _order = 0
  private readonly _generator: ReturnType<typeof xoroshiro128plus>

  constructor (seed: number) {
    this._generator = xoroshiro128plus(seed)
  }

  /** Returns a uniformly distributed number in [0, 1). */
  random (): number { return uniformFloat64(this._generator) }

  /** Returns a uniformly distributed number between two bounds. */
  uniform (min: number, max: number): number { return min + (max - min) * this.random() }

  /** Returns a random item, or `undefined` if there are none. */
  pick<Item> (items: readonly Item[]): Item | undefined { return items[Math.floor(this.random() * items.length)] }

  /** Returns the time by a process's own clock. */
  clock (process: Process): number { return this.now + process.skew }

  recordViolation (text: string): void { this.violations.push(`${Math.round(this.now)} ms: ${text}`) }

  /** Schedules a callback, as an event of a process if one is given. */
  after (delay: number, process: Process | undefined, run: () => void): void {
    const event: ScheduledEvent = { at: this.now + Math.max(0, delay), order: this._order++, process, run }
    let low = 0
    let high = this._events.length
    while (low < high) {
      const middle = (low + high) >> 1
      const other = this._events[middle] as ScheduledEvent
      if (other.at < event.at || (other.at === event.at && other.order < event.order)) low = middle + 1
      else high = middle
    }
    this._events.splice(low, 0, event)
  }

  /** Advances the simulated time and runs the events that become due. */
  advance (duration: number): void {
    const until = this.now + duration
    for (let next = this._events[0]; next !== undefined && next.at <= until; next = this._events[0]) {
      this._events.shift()
      this.now = next.at
      this._run(next)
    }
    this.now = until
  }

  /** Cuts the link in one direction between two ends, which are process names, zone names or `platform`. */
  cut (from: string, to: string): void { this._cuts.add(`${from}>${to}`) }

  /** Restores a link that was cut. */
  restoreLink (from: string, to: string): void { this._cuts.delete(`${from}>${to}`) }

  /** Delays all messages between two ends, in one direction. */
  fill (from: string, to: string, latency: number): void { this._latencies.set(`${from}>${to}`, latency) }

  /** Ends the delay of messages between two ends. */
  drain (from: string, to: string): void { this._latencies.delete(`${from}>${to}`) }

  /** Restores all links. */
  heal (): void {
    this._cuts.clear()
    this._latencies.clear()
  }

  connected (from: Process, to: Process): boolean { return !linksBetween(from, to).some(link => this._cuts.has(link)) }

  /** Returns whether a process and the platform reach each other. */
  connectedToPlatform (process: Process): boolean {
    return !this._cuts.has(`platform>${process.availabilityZone}`) && !this._cuts.has(`${process.availabilityZone}>platform`)
  }

  /** Sends a message one way; it is lost if the link is cut when it is sent or when it is due to arrive. */
  send (from: Process, to: Process, deliver: () => void): void {
    if (!this.connected(from, to)) return
    this.after(this._latency(from, to), to, () => { if (this.connected(from, to)) deliver() })
  }

  private _latency (from: Process, to: Process): number {
    const latency = this.uniform(MIN_LATENCY, MAX_LATENCY)
    if (this._latencies.size === 0 && this._queuedUntil.size === 0) return latency
    const path = `${from.name}>${to.name}`
    const extra = Math.max(0, ...linksBetween(from, to).map(link => this._latencies.get(link) ?? 0))
    const arrival = Math.max(this.now + latency + extra, this._queuedUntil.get(path) ?? 0)
    if (extra > 0) this._queuedUntil.set(path, arrival)
    return arrival - this.now
  }

  /**
   * Calls a process. A dead process refuses the connection; a call to a frozen or unreachable one times out. When a frozen caller
   * is thawed, it handles its timeout and a late answer in either order.
   */
  call<Answer> (from: Process, to: Process | undefined, handle: () => Answer, timeout: number, onSettled: (answer: Answer | 'unreachable') => void): void {
    let isSettled = false
    const settle = (answer: Answer | 'unreachable'): void => {
      if (isSettled) return
      isSettled = true
      onSettled(answer)
    }
    this.after(timeout, from, () => settle('unreachable'))
    if (to === undefined || (!to.alive && this.connected(from, to))) this.after(CONNECTION_REFUSAL_DELAY, from, () => settle('unreachable'))
    else this.send(from, to, () => { this.reply(to, from, handle(), settle) })
  }

  reply<Answer> (from: Process, to: Process, answer: Answer, deliver: (answer: Answer) => void): void {
    this.send(from, to, () => deliver(answer))
  }

  kill (process: Process): void {
    process.alive = false
    process.deferred.length = 0
  }

  freeze (process: Process): void { process.frozen = true }

  /** Resumes a process and runs its deferred events, in their order or reversed, so that timeouts may come before or after messages. */
  thaw (process: Process): void {
    if (!process.frozen) return
    process.frozen = false
    const deferred = process.deferred.splice(0)
    if (this.random() < 0.5) deferred.reverse()
    for (const run of deferred) if (process.alive) run()
  }

  private _run ({ process, run }: ScheduledEvent): void {
    if (process === undefined) run()
    else if (process.alive && process.frozen) process.deferred.push(run)
    else if (process.alive) run()
  }
}
