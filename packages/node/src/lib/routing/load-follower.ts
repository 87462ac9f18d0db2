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
import { runningTime, runPeriodically, type PeriodicTask } from '../periodic-tasks.js'

/** What an entry sends with each ping to an agent that it follows. */
export interface PingContent {
  /** The rate at which this process sends requests to the pool of the agent, in requests per millisecond. */
  readonly sentRate: number
  /** The number of engines of the pool that this process follows and has reports of. */
  readonly followed: number
  /** The version that is wanted of the pool; `undefined` if none is known. */
  readonly named: NamedVersion | undefined
}

/** Messages of other entries that agents relay. */
export type RelayedMessage = Extract<PeerReply, { type: 'suspects' | 'limits' }>

/** Dependencies of {@link LoadFollower}. */
export interface LoadFollowerDependencies {
  readonly pool: PeerPool
  readonly log: Log
  /** Receives a report of the agent at an address. */
  readonly onLoad: (agent: string, load: LoadReport) => void
  /** Returns what is sent to an agent with each ping. */
  readonly news: (agent: string) => PingContent
  /** Receives a message of another entry that an agent relays. */
  readonly onRelayedMessage: (news: RelayedMessage, agent: string) => void
  /** Returns the messages for other entries that an agent is sent once it is connected. */
  readonly initialMessages: () => readonly PeerRequest[]
  /** Receives the version that an agent knows to be wanted of its pool. */
  readonly onNamedVersion: (named: NamedVersion, agent: string) => void
  /** Called when a measurement of the round-trip time to an agent begins or ends. */
  readonly onPing: (agent: string, step: 'begun' | 'ended') => void
}

/** How often the follower checks for due pings and connections, in milliseconds. */
const TICK_INTERVAL = 100
/**
 * The timeout for connecting to an agent, and the delay before the next try, in milliseconds. A SYN to an instance that is just
 * starting is lost, and TCP retransmits it only after a second; until the agent reports, the load of its engine is unknown.
 */
const CONNECT_TIMEOUT = 300
const RETRY_DELAY = 200
/**
 * The pause between pings of an agent, in milliseconds. Queues of a link grow and drain within half a second, so the first applies
 * while the last round trip was long, as it is during a transfer or on a link with reduced bandwidth. The second applies while it
 * was short, up to the third value. Agents send reports without being asked, so the pause may exceed the lifetime of a report.
 */
const PING_PAUSE = 400
const RELAXED_PING_PAUSE = 1_500
const SHORT_ROUND_TRIP = 10
/** The timeout of a ping, in milliseconds. The connection is then considered lost. */
const PING_TIMEOUT = 3_000
/**
 * The number of agents to which a message for other entries is sent; each relays it to all entries that follow it. Where each agent
 * is followed by 16 of 98 entries, six agents reach 60% of the entries directly, and these relay what is new to them.
 */
const RELAY_FANOUT = 6
/** A connection without a report for this time is replaced, in milliseconds: time for two heartbeats of the agent. */
const REPORT_TIMEOUT = 1_600

interface FollowedAgent {
  connection: PeerConnection | undefined
  connecting: boolean
  retryAt: number
  /** See `runningTime`. */
  lastReportAt: number
  pinging: boolean
  lastPingAt: number
  /** The last round-trip time, in milliseconds. */
  roundTrip: number
  lost: boolean
}

/** The agents that one entry follows. */
export class LoadFollower {
  private readonly _followed = new Map<string, FollowedAgent>()
  private readonly _ticks: PeriodicTask
  private _closed = false

  constructor (private readonly _dependencies: LoadFollowerDependencies) {
    this._ticks = runPeriodically(() => { this._tick() }, TICK_INTERVAL)
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
      this._followed.set(agent, { connection: undefined, connecting: false, retryAt: 0, lastReportAt: runningTime(), pinging: false, lastPingAt: 0, roundTrip: Infinity, lost: false })
    }
    this._tick()
  }

  /** Pings all agents now, to send them what has changed. */
  pingAll (): void {
    for (const followed of this._followed.values()) followed.lastPingAt = -Infinity
    this._tick()
  }

  /** Sends a message for other entries to some agents, chosen at random. */
  sendToSome (news: PeerRequest, agents = RELAY_FANOUT): void {
    const open = [...this._followed.values()].flatMap(({ connection }) => connection?.open === true ? [{ connection, order: Math.random() }] : [])
    open.sort((left, right) => left.order - right.order)
    for (const { connection } of open.slice(0, agents)) connection.notify(news)
  }

  /** Follows nothing any more. Connections that this process closes from now on are not lost. */
  close (): void {
    this._closed = true
    this._ticks.close()
  }

  private _tick (): void {
    const now = performance.now()
    for (const [agent, followed] of this._followed) {
      if (followed.connection?.open === true) this._closeIfSilent(agent, followed, followed.connection)
      if (followed.connection?.open === true) this._ping(agent, followed, followed.connection, now)
      if (followed.connection?.open === true || followed.connecting || now < followed.retryAt) continue
      this._connect(agent, followed)
    }
  }

  private _closeIfSilent (agent: string, { lastReportAt }: FollowedAgent, connection: PeerConnection): void {
    const silentFor = runningTime() - lastReportAt
    if (silentFor <= REPORT_TIMEOUT) return
    this._dependencies.log.warn('agent-silent', { agent, reason: 'no-report', silent_for: Math.round(silentFor) })
    connection.close()
  }

  private async _ping (agent: string, followed: FollowedAgent, connection: PeerConnection, now: number): Promise<void> {
    if (followed.pinging || now - followed.lastPingAt < (followed.roundTrip <= SHORT_ROUND_TRIP ? RELAXED_PING_PAUSE : PING_PAUSE)) return
    followed.pinging = true
    followed.lastPingAt = now
    this._dependencies.onPing(agent, 'begun')
    try {
      const { reply } = await connection.call({ type: 'ping', ...this._dependencies.news(agent) }, undefined, PING_TIMEOUT)
      if (reply.type === 'load') this._onReport(agent, followed, reply.load)
      if ('named' in reply && reply.named !== undefined) this._dependencies.onNamedVersion(reply.named, agent)
    } catch (error) {
      this._dependencies.log.debug('agent-silent', { agent, reason: failureOf(error).type })
      connection.close()
    } finally {
      followed.pinging = false
      followed.roundTrip = performance.now() - now
      this._dependencies.onPing(agent, 'ended')
    }
  }

  private async _connect (agent: string, followed: FollowedAgent): Promise<void> {
    followed.connecting = true
    try {
      const connection = await this._dependencies.pool.connection(agent, { patience: CONNECT_TIMEOUT })
      if (this._followed.get(agent) !== followed) return
      followed.connection = connection
      followed.lastReportAt = runningTime()
      connection.ask({ type: 'follow-load' }, undefined, {
        reply: reply => {
          if (reply.type === 'suspects' || reply.type === 'limits') this._dependencies.onRelayedMessage(reply, agent)
          if (reply.type === 'load') this._onReport(agent, followed, reply.load)
        },
        lost: () => this._onConnectionLost(agent, followed, 'connection-lost')
      })
      for (const news of this._dependencies.initialMessages()) connection.notify(news)
    } catch (error) {
      const failure = failureOf(error)
      this._onConnectionLost(agent, followed, 'reason' in failure ? failure.reason : failure.type)
    } finally {
      followed.connecting = false
    }
  }

  private _onReport (agent: string, followed: FollowedAgent, load: LoadReport): void {
    followed.lastReportAt = runningTime()
    if (followed.lost) this._dependencies.log.info('agent-regained', { agent })
    followed.lost = false
    this._dependencies.onLoad(agent, load)
  }

  private _onConnectionLost (agent: string, followed: FollowedAgent, reason: string): void {
    followed.connection = undefined
    followed.retryAt = performance.now() + RETRY_DELAY
    if (this._closed || this._followed.get(agent) !== followed || followed.lost) return
    followed.lost = true
    this._dependencies.log.warn('agent-lost', { agent, reason })
  }
}
