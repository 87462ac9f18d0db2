/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Follows the load of engines over one connection to the agent of each, on which the agent reports every significant change.
 */
import { failureOf, type LoadReport, type NamedVersion, type PeerReply, type PeerRequest } from '@drumdrift/core'
import type { Log } from '../observe/log.js'
import type { PeerConnection } from '../peer/connection.js'
import type { PeerPool } from '../peer/pool.js'

/** What an entry sends with each ping to an agent that it follows. */
export interface AgentNews {
  /** The rate at which this process sends requests to the pool of the agent, in requests per millisecond. */
  readonly sentRate: number
  /** The number of engines of the pool that this process follows and has reports of. */
  readonly followed: number
  /** The version that is wanted of the pool; `undefined` if this process does not know when it was published. */
  readonly named: NamedVersion | undefined
}

/** Messages of other entries that agents relay. */
export type EntryNews = Extract<PeerReply, { type: 'suspects' | 'limits' }>

/** Dependencies of {@link LoadFollower}. */
export interface LoadFollowerParts {
  readonly pool: PeerPool
  readonly log: Log
  /** Receives a report of the agent at an address. */
  readonly onLoad: (agent: string, load: LoadReport) => void
  /** Returns what is sent to an agent with each ping. */
  readonly news: (agent: string) => AgentNews
  /** Receives a message of another entry that an agent relays. */
  readonly onNews: (news: EntryNews, agent: string) => void
  /** Returns the messages for other entries that an agent is sent once it is connected. */
  readonly known: () => readonly PeerRequest[]
  /** Called when a measurement of the round-trip time to an agent begins or ends. */
  readonly onMeasured: (agent: string, step: 'begun' | 'ended') => void
}

/** How often the follower checks for due pings and connections, in milliseconds. */
const TICK = 100
/**
 * The timeout for connecting to an agent, and the delay before the next try, in milliseconds. A SYN to an instance that is just
 * starting is lost, and TCP retransmits it only after a second; until the agent reports, the load of its engine is unknown.
 */
const CONNECT_PATIENCE = 300
const RETRY_PAUSE = 200
/**
 * The pause between pings of an agent, in milliseconds. Queues of a link grow and drain within half a second, so the first applies
 * while the last round trip was long, as it is during a transfer or on a link with reduced bandwidth. The second applies while it
 * was short, up to the third value. Each answer carries the load, so the pause is shorter than the lifetime of a report.
 */
const MEASURE_PAUSE = 400
const CALM_MEASURE_PAUSE = 700
const SHORT_WAY = 10
/** The timeout of a ping, in milliseconds. The connection is then considered lost. */
const MEASURE_PATIENCE = 3_000
/**
 * The number of agents to which a message for other entries is sent; each relays it to all entries that follow it. Where each agent
 * is followed by 16 of 98 entries, six agents reach 60% of the entries directly, and these relay what is new to them.
 */
const TOLD_AGENTS = 6
/** A connection without a report for this time is replaced, in milliseconds: time for two pings at the longer pause. */
const SILENCE = 1_600

interface Followed {
  connection: PeerConnection | undefined
  connecting: boolean
  retryAt: number
  heardAt: number
  measuring: boolean
  measuredAt: number
  /** The last round-trip time, in milliseconds. */
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

  /** Sets the agents to follow. Closes the connections to all others. */
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

  /** Pings all agents now, to send them what has changed. */
  tellNews (): void {
    for (const followed of this._followed.values()) followed.measuredAt = -Infinity
    this._tick()
  }

  /** Sends a message for other entries to some agents, chosen at random. */
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
