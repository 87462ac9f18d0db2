/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Queues requests and decides which starts next. Sheds requests that cannot start in time as soon as they come in, with
 * a time after which to retry.
 */
import { requestFailure, type Candidate, type ChoicePolicy, type Configuration, type InstanceRecord, type RequestClass, type RequestFailure, type QueuedRequest } from '@drumdrift/core'
import type { Histograms } from '../observe/histograms.js'
import type { Counters } from '../observe/metrics.js'
import type { AnswerSink } from './answer-sink.js'
import type { CallerRequest } from './caller-request.js'
import { Group } from './group.js'

/** A request with the sink that receives its answer. */
export interface Job {
  readonly request: CallerRequest
  readonly sink: AnswerSink
}

/** Runs a request that the dispatcher has started. Returns a failure, or `undefined` if there is nothing to report. */
export type JobHandler = (job: Job, group: Group<Job>) => Promise<RequestFailure | undefined>

/** Limits of the dispatcher; times in milliseconds. */
export interface DispatcherPolicy {
  readonly maxQueueLength: number
  readonly maxWait: number
  readonly choice: ChoicePolicy
  readonly queueing: 'fair' | 'first-in-first-out'
  /** The maximum number of retries, as a share of first attempts. */
  readonly retryRatio: number
}

const SWEEP_INTERVAL_MILLISECONDS = 25
const DEFAULT_WEIGHT = 1
const DEFAULT_RETRY_MILLISECONDS = 1_000
const MIN_RETRY_MILLISECONDS = 500
/**
 * A request is queued only if its expected wait is at most this share of its allowed wait. Waits grow when organisations
 * with smaller backlogs send requests, and a request should be refused on arrival rather than after it has waited.
 */
const MAX_EXPECTED_WAIT_SHARE = 0.5

/** Queues and starts the requests of one entry. */
export class Dispatcher {
  private readonly _groups = new Map<string, Group<Job>>()
  private readonly _timer: NodeJS.Timeout
  private readonly _idleListeners = new Set<() => void>()
  private _configuration: Configuration | undefined
  private _accepted = 0

  constructor (
    private readonly _ownEntry: Candidate,
    private readonly _policy: DispatcherPolicy,
    private readonly _handleJob: JobHandler,
    private readonly _histograms: Histograms,
    private readonly _counters: Counters
  ) {
    this._timer = setInterval(() => this._sweep(), SWEEP_INTERVAL_MILLISECONDS)
  }

  /** Number of requests that are accepted and not yet answered. */
  get inProgress (): number { return this._accepted }

  close (): void { clearInterval(this._timer) }

  /** Applies the published configuration and list of instances. */
  apply (configuration: Configuration, instances: readonly InstanceRecord[]): void {
    this._configuration = configuration
    const draining = new Set(configuration.draining)
    const entries = instances.filter(record => record.role === 'entry' && record.availabilityZone === this._ownEntry.availabilityZone).map(record => record.instance).sort()
    const index = Math.max(0, entries.indexOf(this._ownEntry.instance))
    const usable = instances.filter(record => record.role === 'agent' && record.state === 'live' && !draining.has(record.instance))
    for (const name of [...Object.keys(configuration.pools), ...Object.keys(configuration.services)]) {
      const group = this._groups.get(name) ?? new Group<Job>(name, this._ownEntry, this._policy, Math.random)
      this._groups.set(name, group)
      group.setEndpoints(usable.filter(record => record.endpoint === name), index)
    }
  }

  /** Returns the state of a group, for operators. */
  group (name: string): Group<Job> | undefined { return this._groups.get(name) }

  /**
   * Accepts a request, which starts or is queued, or refuses it immediately.
   *
   * @example
   * dispatcher.submit({ request, sink })
   */
  submit (job: Job): void {
    const { request, sink } = job
    const group = this._groups.get(request.group)
    const refusal = group === undefined ? requestFailure('no-endpoint', 'not-run', 'no endpoint serves this group yet', DEFAULT_RETRY_MILLISECONDS) : this._admissionFailure(request, group)
    if (group === undefined || refusal !== undefined) {
      this._complete(job, refusal)
      return
    }
    this._accepted += 1
    const deadline = Math.min(request.deadline, request.receivedAt + this._policy.maxWait)
    const waiting = group.queue.add(job, { ...this._flow(request), now: request.receivedAt, deadline })
    sink.onDisconnect(() => { if (group.queue.remove(waiting)) this._releaseAccepted() })
    this._startQueued(group)
  }

  /** Resolves when every accepted request has been answered. */
  async idle (): Promise<void> {
    if (this._accepted === 0) return
    await new Promise<void>(resolve => this._idleListeners.add(resolve))
  }

  /** Returns the fair-queueing flow of a request. */
  private _flow ({ organisation, requestClass }: CallerRequest): { organisation: string, requestClass: RequestClass, weight: number } {
    if (this._policy.queueing === 'first-in-first-out') return { organisation: '', requestClass: 'interactive', weight: DEFAULT_WEIGHT }
    return { organisation, requestClass, weight: this._weight(organisation) }
  }

  private _admissionFailure (request: CallerRequest, group: Group<Job>): RequestFailure | undefined {
    if (!group.hasEndpoints) return requestFailure('no-endpoint', 'not-run', 'no endpoint is listed', DEFAULT_RETRY_MILLISECONDS)
    const wait = group.expectedWait(this._flow(request).organisation, organisation => this._weight(organisation))
    if (group.queue.size >= this._policy.maxQueueLength) return requestFailure('overloaded', 'not-run', 'the queue is full', Math.max(DEFAULT_RETRY_MILLISECONDS, wait))
    const allowed = Math.min(this._policy.maxWait, request.deadline - request.receivedAt)
    if (wait <= allowed * MAX_EXPECTED_WAIT_SHARE) return undefined
    return requestFailure('overloaded', 'not-run', `the expected wait is ${Math.round(wait)} ms`, Math.max(MIN_RETRY_MILLISECONDS, wait))
  }

  private _startQueued (group: Group<Job>): void {
    while (group.running < group.limit.limit) {
      const waiting = group.queue.take(organisation => this._mayStart(group, organisation))
      if (waiting === undefined) return
      this._start(waiting, group)
    }
  }

  private _mayStart (group: Group<Job>, organisation: string): boolean {
    const maximum = this._configuration?.organisations[organisation]?.inProgress
    return maximum === undefined || (group.inProgress.get(organisation) ?? 0) < maximum
  }

  private async _start (waiting: QueuedRequest<Job>, group: Group<Job>): Promise<void> {
    const { request } = waiting.item
    const startedAt = performance.now()
    this._histograms.record({ measure: 'queueing', organisation: request.organisation, requestClass: request.requestClass }, startedAt - waiting.enqueuedAt)
    group.started(request.organisation, startedAt)
    const failure = await this._handleSafely(waiting.item, group)
    group.ended(request.organisation, performance.now() - startedAt)
    this._complete(waiting.item, failure)
    this._releaseAccepted()
    this._startQueued(group)
  }

  /** Turns an exception into a failure, so that a bug neither occupies a slot forever nor leaves the caller without an answer. */
  private async _handleSafely (job: Job, group: Group<Job>): Promise<RequestFailure | undefined> {
    try {
      return await this._handleJob(job, group)
    } catch (error) {
      this._counters.add('faults')
      return requestFailure('outcome-unknown', 'unknown', error instanceof Error ? error.message : 'unknown error')
    }
  }

  private _complete ({ request, sink }: Job, failure: RequestFailure | undefined): void {
    const { organisation, requestClass } = request
    const elapsed = performance.now() - request.receivedAt
    if (failure === undefined) {
      this._counters.add(sink.gone ? 'answers_abandoned' : 'answers_whole')
      this._histograms.record({ measure: 'whole-answer', organisation, requestClass }, elapsed)
      return
    }
    this._counters.add(`answers_${failure.code.replaceAll('-', '_')}`)
    this._histograms.record({ measure: 'refusal', organisation, requestClass }, elapsed)
    sink.fail(failure)
  }

  private _releaseAccepted (): void {
    this._accepted -= 1
    if (this._accepted === 0) for (const listener of this._idleListeners) listener()
  }

  private _sweep (): void {
    const now = performance.now()
    for (const group of this._groups.values()) {
      for (const waiting of group.queue.expire(now)) {
        this._complete(waiting.item, this._expiryFailure(waiting, group, now))
        this._releaseAccepted()
      }
      this._startQueued(group)
    }
  }

  private _expiryFailure (waiting: QueuedRequest<Job>, group: Group<Job>, now: number): RequestFailure {
    if (waiting.item.request.deadline <= now) return requestFailure('deadline-passed', 'not-run', 'the deadline passed before the request started')
    const wait = group.expectedWait(waiting.organisation, organisation => this._weight(organisation))
    return requestFailure('overloaded', 'not-run', 'the request could not start in time', Math.max(MIN_RETRY_MILLISECONDS, wait))
  }

  private _weight (organisation: string): number {
    return this._configuration?.organisations[organisation]?.weight ?? DEFAULT_WEIGHT
  }
}
