/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Handles operator commands: authenticates the operator, shows the status of processes and sends orders. A lasting change
 * is never stored: it is compiled into the next configuration document, which the operator publishes. An order to drain or
 * stop is addressed to one incarnation.
 */
import type { IncomingMessage } from 'node:http'
import { checkConfiguration, type Configuration, type InstanceRecord, type ProcessStatus, type Spread } from '@drumdrift/core'
import { encodeHistogram, type Histograms } from '../observe/histograms.js'
import { formatPairs, type Log } from '../observe/log.js'
import type { Counters } from '../observe/metrics.js'
import type { PeerPool } from '../peer/pool.js'
import { sameSecret } from '../peer/server.js'
import { commandHelp, parseCommand, type Command, type CommandSyntaxError, type Filter, type FilterField } from './language.js'
import { renderRows, rowOf, type AnswerFormat } from './render.js'

/** The dependencies of the operator commands of an entry. */
export interface OperatorCommandHandlerDependencies {
  /** Operators and their keys, as name:key. */
  readonly keys: readonly string[]
  readonly spread: Spread
  readonly pool: PeerPool
  readonly log: Log
  readonly counters: Counters
  readonly histograms: Histograms
  readonly self: () => ProcessStatus
}

/** An HTTP response to an operator. */
export interface OperatorAnswer {
  readonly status: number
  readonly type: string
  readonly body: string
}

type Handlers = { readonly [Type in Command['type']]: (command: Extract<Command, { type: Type }>, format: AnswerFormat, operator: string) => Promise<OperatorAnswer> }

/** Timeout of a request to a process, in milliseconds. */
const REQUEST_TIMEOUT_MILLISECONDS = 800
/** Maximum number of status requests in flight. */
const MAX_REQUESTS_IN_FLIGHT = 32
const PLAIN_TEXT_TYPE = 'text/plain; charset=utf-8'

/** Handles the operator requests of one entry. */
export class OperatorCommandHandler {
  constructor (private readonly _dependencies: OperatorCommandHandlerDependencies) {}

  /** Handles a request to `/operator/ask` or `/operator/histograms`. */
  async answer (request: IncomingMessage, body: Buffer): Promise<OperatorAnswer> {
    const operator = this._authenticate(request.headers.authorization)
    if (operator === undefined) return this._refuseOperator(request)
    const url = new URL(request.url ?? '/', 'http://entry')
    if (url.pathname === '/operator/histograms') return await this._encodeHistograms()
    const format = parseFormat(url.searchParams.get('format'))
    const command = parseCommand(body.toString('utf8').trim())
    if (command.type === 'language-mistake') return syntaxErrorAnswer(command)
    return await (this._handlers[command.type] as (command: Command, format: AnswerFormat, operator: string) => Promise<OperatorAnswer>)(command, format, operator)
  }

  private readonly _handlers: Handlers = {
    help: async () => textAnswer(200, commandHelp),
    show: async (command, format) => await this._showStatuses(command, format),
    rollout: async command => this._compileRollout(command),
    leave: async (command, _format, operator) => command.lasting ? this._compileLastingDrain(command.instance) : await this._sendLeaveOrder(command, operator)
  }

  private async _showStatuses (command: Extract<Command, { type: 'show' }>, format: AnswerFormat): Promise<OperatorAnswer> {
    const records = this._dependencies.spread.instances.filter(record => matchesSubject(command.what, record) && matchesRecord(command.filters, record))
    const { statuses, unreachable } = await this._collectStatuses(records)
    const rows = statuses.filter(status => matchesStatus(command.filters, status)).map(rowOf)
    const now = performance.now()
    const summary = formatPairs({
      event: 'view',
      shown: rows.length,
      unseen: unreachable.length,
      revision: this._dependencies.spread.revision('configuration'),
      view_age_milliseconds: Math.round(Math.min(this._dependencies.spread.age('instances', now), 1e12)),
      asked_from: this._dependencies.self().availabilityZone
    })
    const missing = unreachable.map(instance => formatPairs({ event: 'unseen', instance }))
    const table = rows.length > 0 ? [renderRows(rows, format)] : []
    return textAnswer(200, [...table, ...missing, summary].join('\n'))
  }

  private _compileRollout (command: Extract<Command, { type: 'rollout' }>): OperatorAnswer {
    const current = this._dependencies.spread.configuration
    const pool = current?.pools[command.pool]
    if (current === undefined || pool === undefined) return refusal('unknown-pool', `there is no pool named ${command.pool}`)
    const { switchFraction = pool.switchFraction, originCopies = pool.originCopies } = command
    const neededBy = command.neededBy === undefined ? pool.neededBy : Date.parse(command.neededBy)
    const next = { ...pool, version: command.version, switchFraction, originCopies, ...(neededBy === undefined ? {} : { neededBy }) }
    return this._compileDocument({ ...current, pools: { ...current.pools, [command.pool]: next } })
  }

  private _compileLastingDrain (instance: string): OperatorAnswer {
    const current = this._dependencies.spread.configuration
    if (current === undefined) return refusal('no-configuration', 'no configuration has been received yet')
    if (this._findRecord(instance) === undefined) return refusal('unknown-instance', `there is no instance named ${instance}`)
    return this._compileDocument({ ...current, draining: [...new Set([...current.draining, instance])] })
  }

  /** Validates the next document like the processes that adopt it, and adds the revision on which it is based. */
  private _compileDocument (next: Configuration): OperatorAnswer {
    const checked = checkConfiguration(next)
    if ('failure' in checked) return refusal('invalid', checked.failure.detail)
    const madeFrom = this._dependencies.spread.revision('configuration')
    const body = JSON.stringify({ madeFrom, document: checked.value })
    return { status: 200, type: 'application/json', body }
  }

  private async _sendLeaveOrder (command: Extract<Command, { type: 'leave' }>, operator: string): Promise<OperatorAnswer> {
    const record = this._findRecord(command.instance)
    if (record === undefined) return refusal('unknown-instance', `there is no instance named ${command.instance}`)
    const incarnation = command.incarnation ?? (await this._fetchStatus(record))?.incarnation
    if (incarnation === undefined) return refusal('unseen', `${command.instance} could not be reached`)
    const { lifecycle } = command
    this._dependencies.log.info('order-given', { operator, instance: command.instance, incarnation, lifecycle })
    try {
      const { reply } = await this._dependencies.pool.call(record.address, { type: 'leave', incarnation, lifecycle, operator }, { timeout: REQUEST_TIMEOUT_MILLISECONDS })
      if (reply.type === 'left') return textAnswer(200, formatPairs({ event: 'left', instance: command.instance, incarnation, lifecycle: reply.lifecycle }))
      return refusal(reply.type === 'refused' ? reply.reason : 'refused', reply.type === 'refused' ? reply.detail : 'unexpected reply')
    } catch {
      return refusal('unseen', `${command.instance} did not answer; the order may have reached it and can be repeated`)
    }
  }

  private async _collectStatuses (records: readonly InstanceRecord[]): Promise<{ statuses: ProcessStatus[], unreachable: string[] }> {
    const statuses: ProcessStatus[] = []
    const unreachable: string[] = []
    const queue = [...records]
    const worker = async (): Promise<void> => {
      for (let record = queue.shift(); record !== undefined; record = queue.shift()) {
        const status = await this._fetchStatus(record)
        if (status === undefined) unreachable.push(record.instance)
        else statuses.push(status)
      }
    }
    await Promise.all(Array.from({ length: MAX_REQUESTS_IN_FLIGHT }, worker))
    statuses.sort((left, right) => left.instance < right.instance ? -1 : 1)
    return { statuses, unreachable: unreachable.sort() }
  }

  private async _fetchStatus (record: InstanceRecord): Promise<ProcessStatus | undefined> {
    const self = this._dependencies.self()
    if (record.instance === self.instance) return self
    try {
      const { reply } = await this._dependencies.pool.call(record.address, { type: 'status' }, { timeout: REQUEST_TIMEOUT_MILLISECONDS })
      return reply.type === 'status' ? reply.status : undefined
    } catch {
      return undefined
    }
  }

  private async _encodeHistograms (): Promise<OperatorAnswer> {
    const series = await Promise.all(this._dependencies.histograms.all().map(async ({ measure, organisation, requestClass, histogram }) => {
      return { measure, organisation, requestClass, histogram: await encodeHistogram(histogram) }
    }))
    return { status: 200, type: 'application/json', body: JSON.stringify(series) }
  }

  private _authenticate (authorization: string | undefined): string | undefined {
    const given = /^Bearer (.+)$/i.exec(authorization ?? '')?.[1] ?? ''
    for (const entry of this._dependencies.keys) {
      const colon = entry.indexOf(':')
      if (colon > 0 && sameSecret(given, entry.slice(colon + 1))) return entry.slice(0, colon)
    }
    return undefined
  }

  private _refuseOperator (request: IncomingMessage): OperatorAnswer {
    this._dependencies.counters.add('operators_refused')
    this._dependencies.log.warn('operator-refused', { remote: request.socket.remoteAddress ?? 'unknown' })
    return textAnswer(403, formatPairs({ event: 'refused', reason: 'wrong-key' }))
  }

  private _findRecord (instance: string): InstanceRecord | undefined {
    return this._dependencies.spread.instances.find(record => record.instance === instance)
  }
}

type RecordField = Extract<FilterField, 'zone' | 'pool' | 'instance'>

const recordFields: Record<RecordField, (record: InstanceRecord) => string> = {
  zone: record => record.availabilityZone,
  pool: record => record.endpoint ?? '',
  instance: record => record.instance
}

function matchesRecord (filters: readonly Filter[], record: InstanceRecord): boolean {
  return filters.every(({ field, value }) => !(field in recordFields) || recordFields[field as RecordField](record) === value)
}

function matchesStatus (filters: readonly Filter[], status: ProcessStatus): boolean {
  return filters.every(({ field, value }) => {
    if (field === 'version') return status.version.startsWith(value)
    if (field === 'state') return status.state === value
    return field !== 'lifecycle' || status.lifecycle === value
  })
}

function matchesSubject (what: Extract<Command, { type: 'show' }>['what'], record: InstanceRecord): boolean {
  return what === 'instances' || what === 'revisions' || (what === 'entries') === (record.role === 'entry')
}

function syntaxErrorAnswer (error: CommandSyntaxError): OperatorAnswer {
  const { position, expected, nearby } = error
  return textAnswer(400, formatPairs({ event: 'mistake', position, expected, nearby }))
}

function refusal (reason: string, detail: string): OperatorAnswer {
  return textAnswer(409, formatPairs({ event: 'refused', reason, detail }))
}

function textAnswer (status: number, body: string): OperatorAnswer {
  return { status, type: PLAIN_TEXT_TYPE, body: `${body}\n` }
}

function parseFormat (name: string | null): AnswerFormat {
  return name === 'pairs' || name === 'json' ? name : 'table'
}
