/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Follows the load of engines: one connection to the agent beside each, over which the agent tells of every change.
 */
import { failureOf, type LoadReport, type NamedVersion, type PeerReply, type PeerRequest } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { PeerConnection } from '../peer/connection.js'
import type { PeerPool } from '../peer/pool.js'

/** What an entry tells the agents that it follows. */
export interface AgentNews {
  /** Requests in a millisecond that this process sends to the agent's pool. */
  readonly sentRate: number
  /** Engines of the pool that it follows and hears. */
  readonly followed: number
  /** The version that is wanted of the pool; nothing when this process does not know since when. */
  readonly named: NamedVersion | undefined
}

/** What agents pass on from other entries. */
export type EntryNews = Extract<PeerReply, { type: 'suspects' | 'limits' }>

/** What the follower works with. */
export interface LoadFollowerParts {
  readonly pool: PeerPool
  readonly log: Log
  /** Takes a report of the agent at an address. */
  readonly onLoad: (agent: string, load: LoadReport) => void
  /** What an agent is told with each measurement. */
  readonly news: (agent: string) => AgentNews
  /** Takes what an agent passes on from other entries. */
  readonly onNews: (news: EntryNews, agent: string) => void
  /** What an agent is told for other entries once it is reached. */
  readonly known: () => readonly PeerRequest[]
  /** A measurement of the way to the agent and back began or ended. */
  readonly onMeasured: (agent: string, step: 'begun' | 'ended') => void
}

/** How often the follower looks what is due, in milliseconds. */
const TICK = 100
/**
 * Time to open a connection to an agent, and before one that could not be reached is tried again, in milliseconds. The
 * opening packet to an instance that is just coming back is lost, and the network sends it again after a second only;
 * until the agent is heard, its engine's load is a guess.
 */
const CONNECT_PATIENCE = 300
const RETRY_PAUSE = 200
/**
 * The way to each agent is measured this often, in milliseconds: queues of a link grow and go within half a second. While a
 * way is short it is measured less often, until a transfer or a narrowed link shows in it; both in milliseconds. The answer tells
 * the load, so that it comes before the one before is too old.
 */
const MEASURE_PAUSE = 400
const CALM_MEASURE_PAUSE = 700
const SHORT_WAY = 10
/** A measurement that takes longer is given up, in milliseconds; the connection is then taken for lost. */
const MEASURE_PATIENCE = 3_000
/**
 * Agents that are told what other entries should know; each tells all entries that follow it. Where an agent has 16 followers of 98 entries, six reach six in
 * ten at once, and those tell further what is news to them.
 */
const TOLD_AGENTS = 6
/** A connection without any report for this time is opened anew, in milliseconds: two measurements of a short way. */
const SILENCE = 1_600

interface Followed {
  connection: PeerConnection | undefined
  connecting: boolean
  retryAt: number
  heardAt: number
  measuring: boolean
  measuredAt: number
  /** The last measured way there and back, in milliseconds. */
  way: number
  lost: boolean
}

/** The agents that one entry follows. */
export class LoadFollower {
  private readonly _followed = new Map<string, Followed>()
  private readonly _timer: NodeJS.Timeout

  constructor (private readonly _parts: LoadFollowerParts) {
    this._timer = setInterval(() => { this._tick() }, TICK)
  }

  /** Sets the agents to be followed. */
  follow (agents: ReadonlySet<string>): void {
    for (const [agent, followed] of this._followed) {
      if (agents.has(agent)) continue
      this._followed.delete(agent)
      followed.connection?.close()
    }
    for (const agent of agents) {
      if (this._followed.has(agent)) continue
      this._followed.set(agent, { connection: undefined, connecting: false, retryAt: 0, heardAt: performance.now(), measuring: false, measuredAt: 0, way: Infinity, lost: false })
    }
    this._tick()
  }

  /** Measures the ways to all agents now, since there is news for them. */
  tellNews (): void {
    for (const followed of this._followed.values()) followed.measuredAt = -Infinity
    this._tick()
  }

  /** Tells some agents, drawn at random, what other entries should know. */
  tellSome (news: PeerRequest, agents = TOLD_AGENTS): void {
    const open = [...this._followed.values()].flatMap(({ connection }) => connection?.open === true ? [{ connection, place: Math.random() }] : [])
    open.sort((left, right) => left.place - right.place)
    for (const { connection } of open.slice(0, agents)) connection.tell(news)
  }

  close (): void { clearInterval(this._timer) }

  private _tick (): void {
    const now = performance.now()
    for (const [agent, followed] of this._followed) {
      if (followed.connection?.open === true && now - followed.heardAt > SILENCE) followed.connection.close()
      if (followed.connection?.open === true) this._measure(agent, followed, followed.connection, now)
      if (followed.connection?.open === true || followed.connecting || now < followed.retryAt) continue
      this._connect(agent, followed)
    }
  }

  private async _measure (agent: string, followed: Followed, connection: PeerConnection, now: number): Promise<void> {
    if (followed.measuring || now - followed.measuredAt < (followed.way <= SHORT_WAY ? CALM_MEASURE_PAUSE : MEASURE_PAUSE)) return
    followed.measuring = true
    followed.measuredAt = now
    this._parts.onMeasured(agent, 'begun')
    try {
      const { reply } = await connection.call({ type: 'ping', ...this._parts.news(agent) }, undefined, MEASURE_PATIENCE)
      if (reply.type === 'load') this._hear(agent, followed, reply.load)
    } catch (error) {
      this._parts.log.debug('agent-silent', { agent, reason: failureOf(error).type })
      connection.close()
    } finally {
      followed.measuring = false
      followed.way = performance.now() - now
      this._parts.onMeasured(agent, 'ended')
    }
  }

  private async _connect (agent: string, followed: Followed): Promise<void> {
    followed.connecting = true
    try {
      const connection = await this._parts.pool.connection(agent, { patience: CONNECT_PATIENCE })
      if (this._followed.get(agent) !== followed) return
      followed.connection = connection
      followed.heardAt = performance.now()
      connection.ask({ type: 'follow-load' }, undefined, {
        reply: reply => {
          if (reply.type === 'suspects' || reply.type === 'limits') this._parts.onNews(reply, agent)
          if (reply.type === 'load') this._hear(agent, followed, reply.load)
        },
        lost: () => this._lost(agent, followed, 'connection-lost')
      })
      for (const news of this._parts.known()) connection.tell(news)
    } catch (error) {
      const failure = failureOf(error)
      this._lost(agent, followed, 'reason' in failure ? failure.reason : failure.type)
    } finally {
      followed.connecting = false
    }
  }

  private _hear (agent: string, followed: Followed, load: LoadReport): void {
    followed.heardAt = performance.now()
    if (followed.lost) this._parts.log.info('agent-regained', { agent })
    followed.lost = false
    this._parts.onLoad(agent, load)
  }

  private _lost (agent: string, followed: Followed, reason: string): void {
    followed.connection = undefined
    followed.retryAt = performance.now() + RETRY_PAUSE
    if (this._followed.get(agent) !== followed || followed.lost) return
    followed.lost = true
    this._parts.log.warn('agent-lost', { agent, reason })
  }
}
