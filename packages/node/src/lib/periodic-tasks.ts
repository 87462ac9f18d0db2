/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The periodic tasks of this process, which share one timer: a wake of an idle process costs several times as much as a check that finds
 * nothing due.
 */
import { PeriodicPlan } from '@drumdrift/core'

/** A task that runs until it is closed. */
export interface PeriodicTask {
  /** Sets the interval, in milliseconds. The task is next due after one interval. */
  changeInterval (interval: number): void
  close (): void
}

const plan = new PeriodicPlan<() => void>()
let timer: NodeJS.Timeout | undefined
let period: number | undefined

/**
 * Runs a task periodically, in the wake that is nearest to its due time. An error that it throws does not keep other tasks from
 * running, and is reported as uncaught.
 *
 * @param interval In milliseconds.
 * @example
 * const task = runPeriodically(() => { this._tick() }, TICK_INTERVAL)
 */
export function runPeriodically (run: () => void, interval: number): PeriodicTask {
  const task = (): void => { run() }
  plan.add(task, interval, performance.now())
  adjustTimer()
  return {
    changeInterval: changed => {
      if (!plan.has(task)) return
      plan.add(task, changed, performance.now())
      adjustTimer()
    },
    close: () => {
      plan.delete(task)
      adjustTimer()
    }
  }
}

/**
 * Returns the time in which this process did not run, in milliseconds, as far as the periodic tasks show it. It never decreases.
 *
 * @example
 * const before = stalledTime()
 */
export function stalledTime (): number { return plan.stalledTime(performance.now()) }

/**
 * Returns a function that returns the stalled time since its last call, in milliseconds.
 *
 * @example
 * const takeStall = stallCounter()
 * transfer.extendDeadlines(takeStall())
 */
export function stallCounter (): () => number {
  let counted = stalledTime()
  return () => {
    const before = counted
    counted = stalledTime()
    return counted - before
  }
}

/**
 * Returns the time on a clock that stands still while this process does not run, in milliseconds. Such a time says nothing about the
 * other side of a connection.
 *
 * @example
 * if (runningTime() - lastReportAt > REPORT_TIMEOUT) connection.close()
 */
export function runningTime (): number {
  const now = performance.now()
  return now - plan.stalledTime(now)
}

/**
 * Polls until a condition holds, for at most `timeout` milliseconds.
 *
 * @param interval Poll interval in milliseconds.
 * @example
 * await waitUntil(() => feed.state.complete, 1_000, 20)
 */
export async function waitUntil (condition: () => boolean, timeout: number, interval: number): Promise<void> {
  const until = performance.now() + timeout
  const isOver = (): boolean => condition() || performance.now() >= until
  if (isOver()) return
  await new Promise<void>(resolve => {
    const polls = runPeriodically(() => {
      if (!isOver()) return
      polls.close()
      resolve()
    }, interval)
  })
}

/** Sets the timer to the plan's period if that has changed. */
function adjustTimer (): void {
  if (plan.period === period) return
  clearInterval(timer)
  period = plan.period
  timer = period === undefined ? undefined : setInterval(tick, period)
}

/** After the process did not run, the tasks run once the bytes that have arrived in the meantime are read. */
function tick (): void {
  if (plan.ticked(performance.now())) setImmediate(runDue)
  else runDue()
}

function runDue (): void {
  for (const task of plan.takeDue(performance.now())) {
    // An earlier task of this tick may have closed it.
    if (!plan.has(task)) continue
    try {
      task()
    } catch (error) {
      queueMicrotask(() => { throw error })
    }
  }
}
