/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Execution of a request by an entry: sequential attempts at agents, of the kind that the request allows. */
import type { Admission, AnswerStream, OfferReply, OnceAttempt, OnceEffect, Outcome } from '@drumdrift/core'
import type { Agent, Entry, FrameSink, Submission } from './request-actors.js'
import type { RequestParts } from './request-parts.js'
import type { World } from './world.js'

export const ORGANISATION = 'hall-1'
/** Times are in milliseconds. */
const CLAIM_STEP_TIMEOUT = 800
const ADMISSION_TIMEOUT = 1_000
const ANSWER_TIMEOUT = 5_000
const MAX_ATTEMPTS = 3

/** Interface of the world that the requests run in. */
export interface RequestHost {
  readonly world: World
  readonly agents: readonly Agent[]
  agentByName (agent: string): Agent | undefined
  /** Returns the agent's offer to run a request that must not repeat. */
  offer (agent: Agent): OfferReply
  /** Forwards an admitted request to its endpoint. */
  dispatch (agent: Agent, run: number, submission: Submission, answer: () => void): void
  /** Sends the endpoint's answer to the entry. */
  answer (agent: Agent, entry: Entry, id: string, own: FrameSink): void
  reportOutcome (submission: Submission, outcome: Outcome): void
  reportComplete (submission: Submission, text: string): void
}

/** Callbacks for an answer that is being received. */
interface AnswerHandlers {
  /** Returns whether further frames are ignored. */
  readonly isOver: () => boolean
  readonly onComplete: (text: string) => void
  readonly onBroken: () => void
}

/** Executes the requests of one run on behalf of their entries. */
export class RequestRunner {
  constructor (private readonly _host: RequestHost, private readonly _parts: RequestParts) {}

  /** Executes a request, trying one agent after another. */
  start (entry: Entry, submission: Submission): void { this._try(entry, submission, new Set(), 1, 0) }

  private _try (entry: Entry, submission: Submission, tried: Set<string>, attempt: number, sent: number): void {
    const candidates = this._host.agents.filter(agent => !tried.has(agent.process.name) && !entry.leaving.has(agent.process.name))
    const agent = this._host.world.pick(candidates)
    const deadlinePassed = this._host.world.clock(entry.process) >= submission.deadline
    if (agent === undefined || attempt > MAX_ATTEMPTS || deadlinePassed) return this._host.reportOutcome(submission, sent > 0 ? this._parts.lostOutcome : 'not-run')
    tried.add(agent.process.name)
    const retry = (wasSent: boolean): void => this._try(entry, submission, tried, attempt + 1, sent + (wasSent ? 1 : 0))
    if (submission.neverRepeat) this._tryOnce(entry, submission, agent.process.name, () => retry(false))
    else this._tryRepeatable(entry, submission, agent, retry)
  }

  private _tryRepeatable (entry: Entry, submission: Submission, agent: Agent, retry: (sent: boolean) => void): void {
    const { world } = this._host
    let ended = false
    const end = (next: () => void): void => {
      if (ended) return
      ended = true
      next()
    }
    const answer = this._collect(entry, {
      isOver: () => ended,
      onComplete: text => end(() => this._host.reportComplete(submission, text)),
      onBroken: () => end(() => retry(true))
    })
    world.after(ANSWER_TIMEOUT, entry.process, () => end(() => answer.text === '' ? retry(true) : this._host.reportOutcome(submission, 'cut')))
    world.call(entry.process, agent.process, () => {
      const admission = agent.admissionController.run(world.now)
      if (admission.type === 'admitted') {
        this._host.dispatch(agent, admission.run, submission, () => this._host.answer(agent, entry, submission.id, answer.sink))
      }
      return admission
    }, ADMISSION_TIMEOUT, reply => {
      if (reply === 'unreachable') end(() => retry(true))
      else if (reply.type === 'refused') end(() => retry(false))
    })
  }

  private _tryOnce (entry: Entry, submission: Submission, agentName: string, tryNextAgent: () => void): void {
    const names = this._host.agents.map(agent => agent.process.name)
    const attempt = this._parts.attempt(`${entry.process.incarnation}:${entry.attempts++}`, agentName, this._parts.keepers(names, ORGANISATION, submission.id), 'body')
    const execute = (effects: readonly OnceEffect[]): void => { for (const effect of effects) this._execute(effect, attempt, entry, submission, tryNextAgent, execute) }
    execute(attempt.begin())
  }

  private _execute (effect: OnceEffect, attempt: OnceAttempt, entry: Entry, submission: Submission, tryNextAgent: () => void, execute: (effects: readonly OnceEffect[]) => void): void {
    const { world } = this._host
    const from = entry.process
    const agent = this._host.agentByName(attempt.agent)
    const keeper = 'keeper' in effect ? this._host.agentByName(effect.keeper) : undefined
    switch (effect.type) {
      case 'send-offer':
        return world.call(from, agent?.process, () => this._host.offer(agent as Agent), CLAIM_STEP_TIMEOUT, reply => execute(attempt.offered(reply)))
      case 'send-claim':
        return world.call(from, keeper?.process, () => (keeper as Agent).keeper.claim(ORGANISATION, submission.id, attempt.attempt, 'body', world.clock((keeper as Agent).process)), CLAIM_STEP_TIMEOUT, reply => execute(attempt.claimed(effect.keeper, reply)))
      case 'send-release':
        return world.call(from, keeper?.process, () => (keeper as Agent).keeper.release(ORGANISATION, submission.id, attempt.attempt), CLAIM_STEP_TIMEOUT, () => {})
      case 'send-go':
        return this._sendGo(effect.ticket, attempt, entry, submission, agent, execute)
      case 'send-cancel':
        return world.call(from, agent?.process, () => (agent as Agent).admissionController.cancel(effect.ticket), ADMISSION_TIMEOUT, reply => execute(attempt.cancelled(reply)))
      case 'try-elsewhere':
        return tryNextAgent()
      case 'give-up':
        return this._host.reportOutcome(submission, effect.failure.outcome)
      case 'started':
    }
  }

  private _sendGo (ticket: string, attempt: OnceAttempt, entry: Entry, submission: Submission, agent: Agent | undefined, execute: (effects: readonly OnceEffect[]) => void): void {
    const { world } = this._host
    const answer = this._collect(entry, {
      isOver: () => submission.outcome !== undefined,
      onComplete: text => this._host.reportComplete(submission, text),
      onBroken: () => {}
    })
    const admit = (): Admission => {
      const target = agent as Agent
      const admission = target.admissionController.go(ticket, world.clock(target.process))
      if (admission.type === 'admitted') {
        this._host.dispatch(target, admission.run, submission, () => this._host.answer(target, entry, submission.id, answer.sink))
      }
      return admission
    }
    world.after(ANSWER_TIMEOUT, entry.process, () => { if (submission.outcome === undefined && !attempt.committed) this._host.reportOutcome(submission, this._parts.lostOutcome) })
    world.call(entry.process, agent?.process, admit, ADMISSION_TIMEOUT, reply => {
      if (reply === 'unreachable') execute(attempt.lost())
      else if (reply.type === 'refused') execute(attempt.refused(reply.reason))
      else execute(attempt.started())
    })
  }

  /** Assembles an answer from its parts. */
  private _collect (entry: Entry, { isOver, onComplete, onBroken }: AnswerHandlers): { readonly sink: FrameSink, readonly text: string } {
    const stream = this._parts.stream()
    let text = ''
    const handleProgress = (progress: ReturnType<AnswerStream<string>['part']>): void => {
      if (isOver()) return
      if (progress.type === 'broken') return onBroken()
      text += progress.data.join('')
      if (progress.whole) onComplete(text)
    }
    const sink: FrameSink = { part: part => handleProgress(stream.part(part)), end: count => handleProgress(stream.end(count)) }
    entry.newestSink = sink
    return { sink, get text () { return text } }
  }
}
