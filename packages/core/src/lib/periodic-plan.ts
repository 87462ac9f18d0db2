/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Decides which periodic tasks run at each tick of one timer. A process pays for each wake rather than for what it does then, so
 * tasks that are due at about the same time run in the same wake. Late ticks show for how long the process did not run.
 */

/** A tick counts as late if the time since the last one exceeds this number of periods. */
const LATE_PERIODS = 2

interface PlannedTask {
  readonly interval: number
  dueAt: number
}

/** Periodic tasks that share one timer. All times are in milliseconds, on one clock. */
export class PeriodicPlan<Task> {
  private readonly _tasks = new Map<Task, PlannedTask>()
  private _period: number | undefined
  private _tickedAt = 0
  private _stalledTime = 0

  /**
   * Adds a task, or changes its interval. It is first due after one interval.
   *
   * @throws RangeError if the interval is not positive and finite.
   */
  add (task: Task, interval: number, now: number): void {
    if (!(interval > 0 && interval < Infinity)) throw new RangeError(`interval must be positive and finite, not ${interval}`)
    this.ticked(now)
    this._tasks.set(task, { interval, dueAt: now + interval })
    this._updatePeriod()
  }

  has (task: Task): boolean { return this._tasks.has(task) }

  delete (task: Task): void {
    this._tasks.delete(task)
    this._updatePeriod()
  }

  /** The time between ticks: the shortest interval of any task. `undefined` without tasks, when no ticks are needed. */
  get period (): number | undefined { return this._period }

  private _updatePeriod (): void {
    this._period = this._tasks.size === 0 ? undefined : Math.min(...[...this._tasks.values()].map(({ interval }) => interval))
  }

  /**
   * Returns the time in which the process did not run because it was suspended or its event loop was blocked, in milliseconds, as far as
   * ticks show it. It never decreases.
   */
  stalledTime (now: number): number { return this._stalledTime + this._currentStall(now) }

  /**
   * Records a tick.
   *
   * @returns Whether it is late, so that bytes which have arrived in the meantime may wait to be read.
   * @example
   * if (plan.ticked(performance.now())) setImmediate(runDueTasks)
   */
  ticked (now: number): boolean {
    const stall = this._currentStall(now)
    this._stalledTime += stall
    this._tickedAt = now
    return stall > 0
  }

  private _currentStall (now: number): number {
    const period = this._period ?? Infinity
    const sinceTick = now - this._tickedAt
    return sinceTick > LATE_PERIODS * period ? sinceTick - period : 0
  }

  /**
   * Returns the tasks that run at a tick, in the order in which they were added. Each runs at the tick nearest to its due time and
   * keeps its interval on average. A task that missed several due times, because the process was blocked, runs once.
   *
   * @example
   * for (const task of plan.takeDue(performance.now())) task()
   */
  takeDue (now: number): Task[] {
    const untilNextTick = this.period ?? 0
    const due: Task[] = []
    for (const [task, planned] of this._tasks) {
      if (planned.dueAt > now + untilNextTick / 2) continue
      const nextDueAt = planned.dueAt + planned.interval
      planned.dueAt = nextDueAt > now ? nextDueAt : now + planned.interval
      due.push(task)
    }
    return due
  }
}
