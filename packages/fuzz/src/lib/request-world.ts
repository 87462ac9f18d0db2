/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Entries, agents and callers on the simulated network, with the real admission, claim keepers, attempts and answer streams.
 * The oracles use only the executions at endpoints and the outcomes reported to callers.
 */
import { formatIssuedId, KEEPER_COUNT, type KeeperPolicy, type OfferReply, type Outcome } from '@drumdrift/core'
import { expectedParts, type Agent, type Entry, type FrameSink, type Submission } from './request-actors.js'
import { RequestRunner, type RequestHost } from './request-course.js'
import { realRequestParts, type RequestParts } from './request-parts.js'
import { Process, World } from './world.js'

const ZONES = ['koshi', 'bagmati'] as const
const AGENT_COUNT = 7
const ENTRY_COUNT = 3
const SLOTS = 6
/** The repeat window is longer than any freeze of an agent in a run, as the documented limits require. */
const KEEPER_POLICY: KeeperPolicy = { repeatWindow: 20_000, recordsPerOrganisation: 64 }
/** Times are in milliseconds. */
const DEADLINE = 5_000
const MIN_KEEPERS = 3
const REPEAT_DELAY = 20
/** How long callers repeat an id; together with the deadline, less than the repeat window. */
const ID_LIFETIME = 6_000
/** How long an agent may receive requests after the notice that it drains. */
const DRAINING_GRACE = 4_000
const MAX_CLOCK_SKEW = 1e7
const MAX_LIST_DELAY = 1_500

/** Simulation of requests through entries and agents. */
export class RequestWorld implements RequestHost {
  readonly world: World
  readonly agents: Agent[] = []
  readonly entries: Entry[] = []
  readonly submissions: Submission[] = []
  private readonly _runsById = new Map<string, number>()
  private readonly _issued: { readonly id: string, readonly at: number }[] = []
  private readonly _runner: RequestRunner
  private _incarnations = 0
  /** The agent that made the latest offer. */
  private _lastOfferingAgent: Agent | undefined

  constructor (seed: number, private readonly _parts: RequestParts = realRequestParts) {
    this.world = new World(seed)
    this._runner = new RequestRunner(this, _parts)
    for (let index = 0; index < AGENT_COUNT; index += 1) this.agents.push(this._startAgent(`agent-${index}`, ZONES[index % 2] ?? ''))
    for (let index = 0; index < ENTRY_COUNT; index += 1) this.entries.push(this._startEntry(`entry-${index}`, ZONES[index % 2] ?? ''))
    // The fleet has been up for longer than the repeat window, so keepers vouch.
    for (const agent of this.agents) agent.keeper.listed(this.world.clock(agent.process) - KEEPER_POLICY.repeatWindow)
  }

  /** Submits a request that must not repeat; ids are reused only within the time that the documented limits allow. */
  submitOnce (number: number, entryIndex: number): void {
    this.submit(`once-${Math.floor(this.world.now / ID_LIFETIME)}-${number}`, entryIndex, true)
  }

  /** Issues an id whose keepers are agents that respond at present. */
  issue (): void {
    const { world } = this
    const responsive = this.agents.filter(agent => agent.process.alive && !agent.process.frozen)
    const keepers = responsive.slice(0, KEEPER_COUNT).map(({ process }) => ({ instance: process.name, incarnation: process.incarnation, at: world.clock(process) }))
    if (keepers.length >= MIN_KEEPERS) this._issued.push({ id: formatIssuedId(`r${this._issued.length}`, keepers), at: world.now })
  }

  /** Submits a request with a new issued id, replaces a rack with some of its keepers, and repeats the request at another entry. */
  loseKeepers (entryIndex: number, agentIndex: number, delay: number): void {
    this.issue()
    const id = this._issued.at(-1)?.id
    if (id === undefined) return
    this.submit(id, entryIndex, true)
    this.world.after(delay, undefined, () => this.replaceRack(agentIndex))
    this.world.after(delay + REPEAT_DELAY, undefined, () => this.submit(id, entryIndex + 1, true))
  }

  /** Submits a request with a recently issued id. */
  submitIssued (number: number, entryIndex: number): void {
    const usable = this._issued.filter(({ at }) => this.world.now - at < ID_LIFETIME)
    const issued = usable[number % Math.max(1, usable.length)]
    if (issued !== undefined) this.submit(issued.id, entryIndex, true)
  }

  /** Submits a request to an entry. */
  submit (id: string, entryIndex: number, neverRepeat: boolean): void {
    const entry = this.entries[entryIndex % this.entries.length] as Entry
    const { process } = entry
    const deadline = this.world.clock(process) + DEADLINE
    const submission: Submission = { number: this.submissions.length, id, neverRepeat, deadline, outcome: undefined, runs: 0, text: '' }
    this.submissions.push(submission)
    if (!process.alive) return
    this.world.after(1, process, () => this._runner.start(entry, submission))
  }

  kill (index: number): void { this.world.kill(this._agentAt(index).process) }

  /** Replaces an agent by a new incarnation with the same name. */
  replace (index: number): void {
    const old = this._agentAt(index)
    this.world.kill(old.process)
    const replacement = this._startAgent(old.process.name, old.process.availabilityZone)
    replacement.keeper.listed(this.world.clock(replacement.process))
    this.agents[this.agents.indexOf(old)] = replacement
  }

  replaceEntry (index: number): void {
    const at = index % this.entries.length
    const old = this.entries[at] as Entry
    this.world.kill(old.process)
    this.entries[at] = this._startEntry(old.process.name, old.process.availabilityZone)
  }

  /** Replaces a rack, which is three agents at once. */
  replaceRack (index: number): void { for (const offset of [0, 1, 2]) this.replace(index + offset) }

  /** Freezes the agent that made the latest offer, in the middle of the exchange that follows. */
  freezeOfferingAgent (length: number): void {
    const agent = this._lastOfferingAgent
    if (agent === undefined) return
    this.world.freeze(agent.process)
    this.world.after(length, undefined, () => this.world.thaw(agent.process))
  }

  /** Cuts the links from the agent that made the latest offer to all entries. */
  muteOfferingAgent (): void {
    const agent = this._lastOfferingAgent
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

  /** Lists an agent as draining; entries and the agent learn of it after a delay if the platform reaches them. */
  listDraining (index: number): void {
    const agent = this._agentAt(index)
    const { process } = agent
    this._announce(process, () => {
      this._recordDrainNotice(agent)
      if (this._parts.followsInstanceList) agent.admissionController.leave('draining')
    })
    for (const entry of this.entries) this._announce(entry.process, () => { entry.leaving.add(process.name) })
  }

  /** Orders an agent to drain. */
  orderDraining (index: number): void {
    const agent = this._agentAt(index)
    if (!agent.process.alive || agent.process.frozen) return
    this.world.after(1, agent.process, () => {
      this._recordDrainNotice(agent)
      agent.admissionController.leave('draining')
    })
  }

  /** Stops an agent as planned: it drains and exits once no request is in progress. */
  stopAgent (index: number): void {
    const agent = this._agentAt(index)
    if (!agent.process.alive || agent.stopping) return
    agent.stopping = true
    const startedAt = this.world.now
    const poll = (): void => {
      agent.admissionController.leave('draining')
      const waited = this.world.now - startedAt
      if (agent.admissionController.running > 0 && waited < this._parts.stopTimeout) return this.world.after(50, agent.process, poll)
      if (agent.unfinished > 0) this.world.recordViolation(`planned-stop: ${agent.process.name} stopped with ${agent.unfinished} requests in progress`)
      this.world.kill(agent.process)
    }
    this.world.after(1, agent.process, poll)
  }

  /** Lets all requests in progress end, then checks the promises. */
  settle (): void {
    this.world.heal()
    this.thawAll()
    this.world.advance(60_000)
    this._checkPromises()
  }

  private _checkPromises (): void {
    for (const submission of this.submissions) {
      if (submission.outcome === 'not-run' && submission.runs > 0) this.world.recordViolation(`not-run: submission ${submission.number} of ${submission.id} ran but was reported as not run`)
      if (submission.outcome === 'whole' && submission.text !== expectedParts(submission.id).join('')) this.world.recordViolation(`whole-answer: submission ${submission.number} received "${submission.text}"`)
    }
  }

  // Agents.

  offer (agent: Agent): OfferReply {
    this._lastOfferingAgent = agent
    return agent.admissionController.offer(this.world.clock(agent.process))
  }

  /** Records when the agent first received the notice that it drains. */
  private _recordDrainNotice (agent: Agent): void { agent.drainingSince = Math.min(agent.drainingSince, this.world.now) }

  /** Forwards a request to the endpoint, as a separate event so that the agent may be frozen before it. */
  dispatch (agent: Agent, run: number, submission: Submission, answer: () => void): void {
    const { world } = this
    agent.unfinished += 1
    world.after(world.uniform(0, 4), agent.process, () => {
      this._recordRun(agent, submission)
      world.after(world.uniform(20, 900), agent.process, () => {
        agent.unfinished -= 1
        agent.admissionController.finished(run)
        answer()
      })
    })
  }

  private _recordRun (agent: Agent, submission: Submission): void {
    submission.runs += 1
    const runs = (this._runsById.get(submission.id) ?? 0) + 1
    this._runsById.set(submission.id, runs)
    if (submission.neverRepeat && runs > 1) this.world.recordViolation(`at-most-once: ${submission.id} ran ${runs} times`)
    if (this.world.now - agent.drainingSince > DRAINING_GRACE) this.world.recordViolation(`leaving: ${agent.process.name} ran a request ${Math.round(this.world.now - agent.drainingSince)} ms after the notice that it drains`)
  }

  /** Sends each part as a message of its own, so that parts may be delayed and reordered. */
  answer (agent: Agent, entry: Entry, id: string, own: FrameSink): void {
    const parts = expectedParts(id)
    const sink = (): FrameSink => this._parts.bindsFramesToCall ? own : entry.newestSink ?? own
    parts.forEach((data, sequence) => this.world.send(agent.process, entry.process, () => sink().part({ sequence, data })))
    this.world.send(agent.process, entry.process, () => sink().end(parts.length))
  }

  // Outcomes reported to callers.

  /** Records the outcome; only the first one reported counts. */
  reportOutcome (submission: Submission, outcome: Outcome): void { submission.outcome ??= outcome }

  reportComplete (submission: Submission, text: string): void {
    if (submission.outcome !== undefined) return
    submission.outcome = 'whole'
    submission.text = text
  }

  private _announce (process: Process, run: () => void): void {
    this.world.after(this.world.uniform(0, MAX_LIST_DELAY), process, () => { if (this.world.connectedToPlatform(process)) run() })
  }

  private _startAgent (name: string, availabilityZone: string): Agent {
    const process = new Process(name, availabilityZone, `${name}.${this._incarnations++}`, this.world.uniform(0, MAX_CLOCK_SKEW))
    const controller = this._parts.admissionController(process.incarnation, SLOTS)
    controller.setServing(true)
    return { process, admissionController: controller, keeper: this._parts.keeper(process.incarnation, KEEPER_POLICY), stopping: false, drainingSince: Infinity, unfinished: 0 }
  }

  private _startEntry (name: string, availabilityZone: string): Entry {
    const process = new Process(name, availabilityZone, `${name}.${this._incarnations++}`, this.world.uniform(0, MAX_CLOCK_SKEW))
    return { process, leaving: new Set(), attempts: 0, newestSink: undefined }
  }

  private _agentAt (index: number): Agent { return this.agents[index % this.agents.length] as Agent }
  agentByName (name: string): Agent | undefined { return this.agents.find(agent => agent.process.name === name) }
}
