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
import { languageHelp, parseCommand, type Command, type Filter, type FilterField, type LanguageMistake } from './language.js'
import { renderRows, rowOf, type AnswerFormat } from './render.js'

/** The dependencies of `OperatorDesk`. */
export interface OperatorDeskParts {
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
const ASK_TIMEOUT = 800
/** Maximum number of status requests in flight. */
const ASK_WIDTH = 32
const TEXT = 'text/plain; charset=utf-8'

/** Handles the operator requests of one entry. */
export class OperatorDesk {
  constructor (private readonly _parts: OperatorDeskParts) {}

  /** Handles a request to `/operator/ask` or `/operator/histograms`. */
  async answer (request: IncomingMessage, body: Buffer): Promise<OperatorAnswer> {
    const operator = this._operator(request.headers.authorization)
    if (operator === undefined) return this._refuse(request)
    const url = new URL(request.url ?? '/', 'http://entry')
    if (url.pathname === '/operator/histograms') return await this._histograms()
    const format = formatOf(url.searchParams.get('format'))
    const command = parseCommand(body.toString('utf8').trim())
    if (command.type === 'language-mistake') return answerMistake(command)
    return await (this._handlers[command.type] as (command: Command, format: AnswerFormat, operator: string) => Promise<OperatorAnswer>)(command, format, operator)
  }

  private readonly _handlers: Handlers = {
    help: async () => text(200, languageHelp),
    show: async (command, format) => await this._show(command, format),
    rollout: async command => this._rollout(command),
    leave: async (command, _format, operator) => command.lasting ? this._drainLasting(command.instance) : await this._leave(command, operator)
  }

  private async _show (command: Extract<Command, { type: 'show' }>, format: AnswerFormat): Promise<OperatorAnswer> {
    const records = this._parts.spread.instances.filter(record => wantedRole(command.what, record) && matchesRecord(command.filters, record))
    const { seen, unseen } = await this._ask(records)
    const rows = seen.filter(status => matchesStatus(command.filters, status)).map(rowOf)
    const now = performance.now()
    const summary = formatPairs({
      event: 'view',
      shown: rows.length,
      unseen: unseen.length,
      revision: this._parts.spread.revision('configuration'),
      view_age_milliseconds: Math.round(Math.min(this._parts.spread.age('instances', now), 1e12)),
      asked_from: this._parts.self().availabilityZone
    })
    const missing = unseen.map(instance => formatPairs({ event: 'unseen', instance }))
    const table = rows.length > 0 ? [renderRows(rows, format)] : []
    return text(200, [...table, ...missing, summary].join('\n'))
  }

  private _rollout (command: Extract<Command, { type: 'rollout' }>): OperatorAnswer {
    const current = this._parts.spread.configuration
    const pool = current?.pools[command.pool]
    if (current === undefined || pool === undefined) return failed('unknown-pool', `there is no pool named ${command.pool}`)
    const { switchFraction = pool.switchFraction, originCopies = pool.originCopies } = command
    const neededBy = command.neededBy === undefined ? pool.neededBy : Date.parse(command.neededBy)
    const next = { ...pool, version: command.version, switchFraction, originCopies, ...(neededBy === undefined ? {} : { neededBy }) }
    return this._compiled({ ...current, pools: { ...current.pools, [command.pool]: next } })
  }

  private _drainLasting (instance: string): OperatorAnswer {
    const current = this._parts.spread.configuration
    if (current === undefined) return failed('no-configuration', 'no configuration has been received yet')
    if (this._record(instance) === undefined) return failed('unknown-instance', `there is no instance named ${instance}`)
    return this._compiled({ ...current, draining: [...new Set([...current.draining, instance])] })
  }

  /** Validates the next document like the processes that adopt it, and adds the revision on which it is based. */
  private _compiled (next: Configuration): OperatorAnswer {
    const checked = checkConfiguration(next)
    if ('failure' in checked) return failed('invalid', checked.failure.detail)
    const madeFrom = this._parts.spread.revision('configuration')
    const body = JSON.stringify({ madeFrom, document: checked.value })
    return { status: 200, type: 'application/json', body }
  }

  private async _leave (command: Extract<Command, { type: 'leave' }>, operator: string): Promise<OperatorAnswer> {
    const record = this._record(command.instance)
    if (record === undefined) return failed('unknown-instance', `there is no instance named ${command.instance}`)
    const incarnation = command.incarnation ?? (await this._status(record))?.incarnation
    if (incarnation === undefined) return failed('unseen', `${command.instance} could not be reached`)
    const { lifecycle } = command
    this._parts.log.info('order-given', { operator, instance: command.instance, incarnation, lifecycle })
    try {
      const { reply } = await this._parts.pool.call(record.address, { type: 'leave', incarnation, lifecycle, operator }, { timeout: ASK_TIMEOUT })
      if (reply.type === 'left') return text(200, formatPairs({ event: 'left', instance: command.instance, incarnation, lifecycle: reply.lifecycle }))
      return failed(reply.type === 'refused' ? reply.reason : 'refused', reply.type === 'refused' ? reply.detail : 'unexpected reply')
    } catch {
      return failed('unseen', `${command.instance} did not answer; the order may have reached it and can safely be repeated`)
    }
  }

  private async _ask (records: readonly InstanceRecord[]): Promise<{ seen: ProcessStatus[], unseen: string[] }> {
    const seen: ProcessStatus[] = []
    const unseen: string[] = []
    const queue = [...records]
    const work = async (): Promise<void> => {
      for (let record = queue.shift(); record !== undefined; record = queue.shift()) {
        const status = await this._status(record)
        if (status === undefined) unseen.push(record.instance)
        else seen.push(status)
      }
    }
    await Promise.all(Array.from({ length: ASK_WIDTH }, work))
    seen.sort((left, right) => left.instance < right.instance ? -1 : 1)
    return { seen, unseen: unseen.sort() }
  }

  private async _status (record: InstanceRecord): Promise<ProcessStatus | undefined> {
    const self = this._parts.self()
    if (record.instance === self.instance) return self
    try {
      const { reply } = await this._parts.pool.call(record.address, { type: 'status' }, { timeout: ASK_TIMEOUT })
      return reply.type === 'status' ? reply.status : undefined
    } catch {
      return undefined
    }
  }

  private async _histograms (): Promise<OperatorAnswer> {
    const series = await Promise.all(this._parts.histograms.all().map(async ({ measure, organisation, requestClass, histogram }) => {
      return { measure, organisation, requestClass, histogram: await encodeHistogram(histogram) }
    }))
    return { status: 200, type: 'application/json', body: JSON.stringify(series) }
  }

  private _operator (authorization: string | undefined): string | undefined {
    const given = /^Bearer (.+)$/i.exec(authorization ?? '')?.[1] ?? ''
    for (const entry of this._parts.keys) {
      const colon = entry.indexOf(':')
      if (colon > 0 && sameSecret(given, entry.slice(colon + 1))) return entry.slice(0, colon)
    }
    return undefined
  }

  private _refuse (request: IncomingMessage): OperatorAnswer {
    this._parts.counters.add('operators_refused')
    this._parts.log.warn('operator-refused', { remote: request.socket.remoteAddress ?? 'unknown' })
    return text(403, formatPairs({ event: 'refused', reason: 'wrong-key' }))
  }

  private _record (instance: string): InstanceRecord | undefined {
    return this._parts.spread.instances.find(record => record.instance === instance)
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

function wantedRole (what: Extract<Command, { type: 'show' }>['what'], record: InstanceRecord): boolean {
  return what === 'instances' || what === 'revisions' || (what === 'entries') === (record.role === 'entry')
}

function answerMistake (mistake: LanguageMistake): OperatorAnswer {
  const { position, expected, nearby } = mistake
  return text(400, formatPairs({ event: 'mistake', position, expected, nearby }))
}

function failed (reason: string, detail: string): OperatorAnswer {
  return text(409, formatPairs({ event: 'refused', reason, detail }))
}

function text (status: number, body: string): OperatorAnswer {
  return { status, type: TEXT, body: `${body}\n` }
}

function formatOf (name: string | null): AnswerFormat {
  return name === 'pairs' || name === 'json' ? name : 'table'
}
