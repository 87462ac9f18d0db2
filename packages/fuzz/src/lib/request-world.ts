/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Entries, agents and callers over the fake network, with the real door, keeper, attempts and answer streams. The
 * oracles look only at what endpoints ran and what callers were told.
 */
import {
  formatIssuedId, KEEPER_COUNT, type AdmissionDoor, type Admission, type AnswerStream, type ClaimKeeper, type KeeperPolicy, type OfferReply, type OnceAttempt, type OnceEffect, type Outcome
} from '@drumdrift/core'
import { realRequestParts, type RequestParts } from './request-parts.js'
import { Process, World } from './world.js'

interface Agent {
  process: Process
  door: AdmissionDoor
  keeper: ClaimKeeper
  stopping: boolean
  /** Since when the agent's leaving was known where it could hear of it; Infinity if it is not leaving. */
  leavingSince: number
  /** Requests that this incarnation has dispatched and not finished, by the oracle's own count. */
  unfinished: number
}

interface Entry {
  process: Process
  readonly leaving: Set<string>
  attempts: number
  /** Where the frames of the newest call go. */
  newest: FrameSink | undefined
}

interface FrameSink {
  part (part: { sequence: number, data: string }): void
  end (count: number): void
}

interface Submission {
  readonly number: number
  readonly id: string
  readonly neverRepeat: boolean
  /** By the entry's own clock: no attempt begins after it. */
  readonly deadline: number
  told: 'whole' | Outcome | undefined
  /** Runs at endpoints that this submission caused. */
  runs: number
  text: string
}

const ORGANISATION = 'hall-1'
const ZONES = ['koshi', 'bagmati'] as const
const AGENTS = 7
const ENTRIES = 3
const SLOTS = 6
const STEP_TIMEOUT = 800
const ADMISSION_PATIENCE = 1_000
const ANSWER_PATIENCE = 5_000
const MOST_TRIES = 3
/** Long enough for any freeze of an agent in a run, which the page of limits states as a condition. */
const KEEPER_POLICY: KeeperPolicy = { repeatWindow: 20_000, recordsPerOrganisation: 64 }
const DEADLINE = 5_000
const LEAST_KEEPERS = 3
const REPEAT_AFTER = 20
/** Callers repeat an id for so long: with the deadline, less than the repeat window. */
const ID_LIFETIME = 6_000
/** A leaving endpoint may get work for so long after it could hear of it. */
const LEAVING_GRACE = 4_000
const LARGEST_SKEW = 1e7
const LIST_LAG = 1_500

/** The answer that a request must get. */
function partsOf (id: string): string[] {
  return [0, 1, 2, 3].map(index => `${id}.${index};`)
}

/** One run's requests. */
export class RequestWorld {
  readonly world: World
  readonly agents: Agent[] = []
  readonly entries: Entry[] = []
  readonly submissions: Submission[] = []
  private readonly _runsById = new Map<string, number>()
  private readonly _issued: { readonly id: string, readonly at: number }[] = []
  private _incarnations = 0
  /** The agent that made the newest offer. */
  private _offered: Agent | undefined

  constructor (seed: number, private readonly _parts: RequestParts = realRequestParts) {
    this.world = new World(seed)
    for (let index = 0; index < AGENTS; index += 1) this.agents.push(this._agent(`agent-${index}`, ZONES[index % 2] ?? ''))
    for (let index = 0; index < ENTRIES; index += 1) this.entries.push(this._entry(`entry-${index}`, ZONES[index % 2] ?? ''))
    // The fleet has been up for longer than the window, so keepers vouch.
    for (const agent of this.agents) agent.keeper.listed(this.world.clock(agent.process) - KEEPER_POLICY.repeatWindow)
  }

  /** A caller asks an entry; ids are repeated only within the time that the page of limits allows. */
  submitOnce (number: number, entryIndex: number): void {
    this.submit(`once-${Math.floor(this.world.now / ID_LIFETIME)}-${number}`, entryIndex, true)
  }

  /** An entry issues an id, whose keepers are agents that answer now. */
  issue (): void {
    const { world } = this
    const awake = this.agents.filter(agent => agent.process.alive && !agent.process.frozen)
    const keepers = awake.slice(0, KEEPER_COUNT).map(({ process }) => ({ instance: process.name, incarnation: process.incarnation, at: world.clock(process) }))
    if (keepers.length >= LEAST_KEEPERS) this._issued.push({ id: formatIssuedId(`r${this._issued.length}`, keepers), at: world.now })
  }

  /** An id is issued and asked with; a rack with some of its keepers is lost, and the caller asks again elsewhere. */
  loseKeepers (entryIndex: number, agentIndex: number, delay: number): void {
    this.issue()
    const id = this._issued.at(-1)?.id
    if (id === undefined) return
    this.submit(id, entryIndex, true)
    this.world.after(delay, undefined, () => this.replaceRack(agentIndex))
    this.world.after(delay + REPEAT_AFTER, undefined, () => this.submit(id, entryIndex + 1, true))
  }

  /** A caller asks with one of the ids that were issued lately. */
  submitIssued (number: number, entryIndex: number): void {
    const usable = this._issued.filter(({ at }) => this.world.now - at < ID_LIFETIME)
    const issued = usable[number % Math.max(1, usable.length)]
    if (issued !== undefined) this.submit(issued.id, entryIndex, true)
  }

  /** A caller asks an entry. */
  submit (id: string, entryIndex: number, neverRepeat: boolean): void {
    const entry = this.entries[entryIndex % this.entries.length] as Entry
    const { process } = entry
    const deadline = this.world.clock(process) + DEADLINE
    const submission: Submission = { number: this.submissions.length, id, neverRepeat, deadline, told: undefined, runs: 0, text: '' }
    this.submissions.push(submission)
    if (!process.alive) return
    this.world.after(1, process, () => this._try(entry, submission, new Set(), 1, 0))
  }

  kill (index: number): void { this.world.kill(this._agentAt(index).process) }

  /** A new incarnation under the same name and address. */
  replace (index: number): void {
    const old = this._agentAt(index)
    this.world.kill(old.process)
    const fresh = this._agent(old.process.name, old.process.availabilityZone)
    fresh.keeper.listed(this.world.clock(fresh.process))
    this.agents[this.agents.indexOf(old)] = fresh
  }

  replaceEntry (index: number): void {
    const at = index % this.entries.length
    const old = this.entries[at] as Entry
    this.world.kill(old.process)
    this.entries[at] = this._entry(old.process.name, old.process.availabilityZone)
  }

  /** A rack is lost and replaced: three agents at once. */
  replaceRack (index: number): void { for (const offset of [0, 1, 2]) this.replace(index + offset) }

  /** The agent that made the newest offer is frozen, in the middle of what follows. */
  freezeOffered (length: number): void {
    const agent = this._offered
    if (agent === undefined) return
    this.world.freeze(agent.process)
    this.world.after(length, undefined, () => this.world.thaw(agent.process))
  }

  /** What the agent that made the newest offer says does not arrive any more. */
  muteOffered (): void {
    const agent = this._offered
    if (agent !== undefined) for (const { process } of this.entries) this.world.cut(agent.process.name, process.name)
  }

  freezeAgent (index: number): void { this.world.freeze(this._agentAt(index).process) }
  freezeEntry (index: number): void { this.world.freeze((this.entries[index % this.entries.length] as Entry).process) }

  thawAgent (index: number): void { this.world.thaw(this._agentAt(index).process) }
  thawEntry (index: number): void { this.world.thaw((this.entries[index % this.entries.length] as Entry).process) }

  cut (from: number, to: number, bothWays: boolean): void {
    const ends = [...this.agents, ...this.entries].map(({ process }) => process.name)
    const [left = '', right = ''] = [ends[from % ends.length], ends[to % ends.length]]
    this.world.cut(left, right)
    if (bothWays) this.world.cut(right, left)
  }

  cutPlatform (zone: number): void { this.world.cut('platform', ZONES[zone % ZONES.length] ?? '') }

  thawAll (): void {
    for (const { process } of [...this.agents, ...this.entries]) this.world.thaw(process)
  }

  /** The platform lists an agent as leaving: entries and the agent hear of it late, if they can. */
  listLeaving (index: number): void {
    const agent = this._agentAt(index)
    const { process } = agent
    this._tell(process, () => {
      this._hears(agent)
      if (this._parts.heedsList) agent.door.leave('draining')
    })
    for (const entry of this.entries) this._tell(entry.process, () => { entry.leaving.add(process.name) })
  }

  /** An operator orders an agent to leave. */
  orderLeaving (index: number): void {
    const agent = this._agentAt(index)
    if (!agent.process.alive || agent.process.frozen) return
    this.world.after(1, agent.process, () => {
      this._hears(agent)
      agent.door.leave('draining')
    })
  }

  /** A planned stop: nothing new, and an end once nothing runs. */
  stopAgent (index: number): void {
    const agent = this._agentAt(index)
    if (!agent.process.alive || agent.stopping) return
    agent.stopping = true
    const startedAt = this.world.now
    const look = (): void => {
      agent.door.leave('draining')
      const waited = this.world.now - startedAt
      if (agent.door.running > 0 && waited < this._parts.stopPatience) return this.world.after(50, agent.process, look)
      if (agent.unfinished > 0) this.world.violate(`planned-stop: ${agent.process.name} stopped with ${agent.unfinished} requests in progress`)
      this.world.kill(agent.process)
    }
    this.world.after(1, agent.process, look)
  }

  /** Lets everything that is under way end, then looks at the promises. */
  settle (): void {
    this.world.heal()
    this.thawAll()
    this.world.advance(60_000)
    this._judge()
  }

  private _judge (): void {
    for (const submission of this.submissions) {
      if (submission.told === 'not-run' && submission.runs > 0) this.world.violate(`not-run: submission ${submission.number} of ${submission.id} ran and was told not run`)
      if (submission.told === 'whole' && submission.text !== partsOf(submission.id).join('')) this.world.violate(`whole-answer: submission ${submission.number} got "${submission.text}"`)
    }
  }

  // The entry.

  private _try (entry: Entry, submission: Submission, tried: Set<string>, attempt: number, sent: number): void {
    const open = this.agents.filter(agent => !tried.has(agent.process.name) && !entry.leaving.has(agent.process.name))
    const agent = this.world.pick(open)
    const late = this.world.clock(entry.process) >= submission.deadline
    if (agent === undefined || attempt > MOST_TRIES || late) return this._tellCaller(submission, sent > 0 ? this._parts.lostMeans : 'not-run')
    tried.add(agent.process.name)
    const again = (wasSent: boolean): void => this._try(entry, submission, tried, attempt + 1, sent + (wasSent ? 1 : 0))
    if (submission.neverRepeat) this._tryOnce(entry, submission, agent.process.name, () => again(false))
    else this._tryRepeatable(entry, submission, agent, again)
  }

  private _tryRepeatable (entry: Entry, submission: Submission, agent: Agent, again: (sent: boolean) => void): void {
    const { world } = this
    let ended = false
    const end = (next: () => void): void => {
      if (ended) return
      ended = true
      next()
    }
    const stream = this._parts.stream()
    let text = ''
    const take = (progress: ReturnType<AnswerStream<string>['part']>): void => {
      if (ended) return
      if (progress.type === 'broken') return end(() => again(true))
      text += progress.data.join('')
      if (progress.whole) end(() => this._tellWhole(submission, text))
    }
    const sink: FrameSink = { part: part => take(stream.part(part)), end: count => take(stream.end(count)) }
    entry.newest = sink
    world.after(ANSWER_PATIENCE, entry.process, () => end(() => text === '' ? again(true) : this._tellCaller(submission, 'cut')))
    world.call(entry.process, agent.process, () => {
      const admission = agent.door.run()
      if (admission.type === 'admitted') {
        this._dispatch(agent, admission.run, submission, () => this._answer(agent, entry, submission.id, sink))
      }
      return admission
    }, ADMISSION_PATIENCE, answer => {
      if (answer === 'unreachable') end(() => again(true))
      else if (answer.type === 'refused') end(() => again(false))
    })
  }

  private _tryOnce (entry: Entry, submission: Submission, agentName: string, elsewhere: () => void): void {
    const names = this.agents.map(agent => agent.process.name)
    const attempt = this._parts.attempt(`${entry.process.incarnation}:${entry.attempts++}`, agentName, this._parts.keepers(names, ORGANISATION, submission.id), 'body')
    const carryOut = (effects: readonly OnceEffect[]): void => { for (const effect of effects) this._carryOut(effect, attempt, entry, submission, elsewhere, carryOut) }
    carryOut(attempt.begin())
  }

  private _carryOut (effect: OnceEffect, attempt: OnceAttempt, entry: Entry, submission: Submission, elsewhere: () => void, carryOut: (effects: readonly OnceEffect[]) => void): void {
    const { world } = this
    const from = entry.process
    const agent = this._named(attempt.agent)
    const keeper = 'keeper' in effect ? this._named(effect.keeper) : undefined
    switch (effect.type) {
      case 'send-offer':
        return world.call(from, agent?.process, () => this._offer(agent as Agent), STEP_TIMEOUT, reply => carryOut(attempt.offered(reply)))
      case 'send-claim':
        return world.call(from, keeper?.process, () => (keeper as Agent).keeper.claim(ORGANISATION, submission.id, attempt.attempt, 'body', world.clock((keeper as Agent).process)), STEP_TIMEOUT, reply => carryOut(attempt.claimed(effect.keeper, reply)))
      case 'send-release':
        return world.call(from, keeper?.process, () => (keeper as Agent).keeper.release(ORGANISATION, submission.id, attempt.attempt), STEP_TIMEOUT, () => {})
      case 'send-go':
        return this._go(effect.ticket, attempt, entry, submission, agent, carryOut)
      case 'send-cancel':
        return world.call(from, agent?.process, () => (agent as Agent).door.cancel(effect.ticket), ADMISSION_PATIENCE, reply => carryOut(attempt.cancelled(reply)))
      case 'try-elsewhere':
        return elsewhere()
      case 'give-up':
        return this._tellCaller(submission, effect.failure.outcome)
      case 'started':
    }
  }

  private _go (ticket: string, attempt: OnceAttempt, entry: Entry, submission: Submission, agent: Agent | undefined, carryOut: (effects: readonly OnceEffect[]) => void): void {
    const { world } = this
    const stream = this._parts.stream()
    let text = ''
    const take = (progress: ReturnType<AnswerStream<string>['part']>): void => {
      if (submission.told !== undefined || progress.type === 'broken') return
      text += progress.data.join('')
      if (progress.whole) this._tellWhole(submission, text)
    }
    const sink: FrameSink = { part: part => take(stream.part(part)), end: count => take(stream.end(count)) }
    entry.newest = sink
    const admit = (): Admission => {
      const at = agent as Agent
      const admission = at.door.go(ticket, world.clock(at.process))
      if (admission.type === 'admitted') {
        this._dispatch(at, admission.run, submission, () => this._answer(at, entry, submission.id, sink))
      }
      return admission
    }
    world.after(ANSWER_PATIENCE, entry.process, () => { if (submission.told === undefined && !attempt.committed) this._tellCaller(submission, this._parts.lostMeans) })
    world.call(entry.process, agent?.process, admit, ADMISSION_PATIENCE, answer => {
      if (answer === 'unreachable') carryOut(attempt.lost())
      else if (answer.type === 'refused') carryOut(attempt.refused(answer.reason))
      else carryOut(attempt.started())
    })
  }

  // The agent.

  private _offer (agent: Agent): OfferReply {
    this._offered = agent
    return agent.door.offer(this.world.clock(agent.process))
  }

  /** From now on the agent can know that it leaves. */
  private _hears (agent: Agent): void { agent.leavingSince = Math.min(agent.leavingSince, this.world.now) }

  /** Hands a request to the endpoint: an event of its own, so that a freeze may come between. */
  private _dispatch (agent: Agent, run: number, submission: Submission, answer: () => void): void {
    const { world } = this
    agent.unfinished += 1
    world.after(world.between(0, 4), agent.process, () => {
      this._ran(agent, submission)
      world.after(world.between(20, 900), agent.process, () => {
        agent.unfinished -= 1
        agent.door.finished(run)
        answer()
      })
    })
  }

  private _ran (agent: Agent, submission: Submission): void {
    submission.runs += 1
    const runs = (this._runsById.get(submission.id) ?? 0) + 1
    this._runsById.set(submission.id, runs)
    if (submission.neverRepeat && runs > 1) this.world.violate(`at-most-once: ${submission.id} ran ${runs} times`)
    if (this.world.now - agent.leavingSince > LEAVING_GRACE) this.world.violate(`leaving: ${agent.process.name} got work ${Math.round(this.world.now - agent.leavingSince)} ms after it could know that it leaves`)
  }

  /** Parts travel by themselves: they come late and out of order. */
  private _answer (agent: Agent, entry: Entry, id: string, own: FrameSink): void {
    const parts = partsOf(id)
    const sink = (): FrameSink => this._parts.framesByCall ? own : entry.newest ?? own
    parts.forEach((data, sequence) => this.world.send(agent.process, entry.process, () => sink().part({ sequence, data })))
    this.world.send(agent.process, entry.process, () => sink().end(parts.length))
  }

  // What callers are told.

  /** The entry may be gone or frozen; only what it says counts, and only once. */
  private _tellCaller (submission: Submission, outcome: Outcome): void { submission.told ??= outcome }

  private _tellWhole (submission: Submission, text: string): void {
    if (submission.told !== undefined) return
    submission.told = 'whole'
    submission.text = text
  }

  private _tell (process: Process, run: () => void): void {
    this.world.after(this.world.between(0, LIST_LAG), process, () => { if (this.world.platformReaches(process)) run() })
  }

  private _agent (name: string, availabilityZone: string): Agent {
    const process = new Process(name, availabilityZone, `${name}.${this._incarnations++}`, this.world.between(0, LARGEST_SKEW))
    const door = this._parts.door(process.incarnation, SLOTS)
    door.setServing(true)
    return { process, door, keeper: this._parts.keeper(process.incarnation, KEEPER_POLICY), stopping: false, leavingSince: Infinity, unfinished: 0 }
  }

  private _entry (name: string, availabilityZone: string): Entry {
    const process = new Process(name, availabilityZone, `${name}.${this._incarnations++}`, this.world.between(0, LARGEST_SKEW))
    return { process, leaving: new Set(), attempts: 0, newest: undefined }
  }

  private _agentAt (index: number): Agent { return this.agents[index % this.agents.length] as Agent }
  private _named (name: string): Agent | undefined { return this.agents.find(agent => agent.process.name === name) }
}
