/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Stand-in for a model engine: staging memory, fenced loads, and streamed answers in the chat-completions format. Each
 * token depends on the version, the prompt and its index, so that a caller can distinguish a complete answer of one
 * version from one that is truncated or mixes versions.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { setTimeout as pause } from 'node:timers/promises'
import { checkManifest, dropOldest, hash32 } from '@drumdrift/core'
import { digestOf } from 'drumdrift'
import { HttpService, readAll, sendJson } from './http-service.js'

/** Latencies of an engine, in milliseconds. */
export interface EngineTimes {
  readonly load: number
  readonly firstToken: number
  /** Time to the first token when the prefix of the prompt is cached. */
  readonly cachedFirstToken: number
  readonly betweenTokens: number
  readonly reportLag: number
}

/** What an engine recorded, for the oracles. */
export interface EngineJournal {
  /** `whole` tells whether all staged chunks were complete; `at` is the end of the load, in milliseconds since 1970. */
  readonly loads: { readonly manifest: string, readonly fence: number, readonly whole: boolean, readonly at: number }[]
  partialLoads: number
  staleFences: number
  answers: number
  cancelled: number
  prefixHits: number
  prefixMisses: number
  readonly runs: Record<string, number>
}

/** Default latencies. */
export const defaultEngineTimes: EngineTimes = { load: 300, firstToken: 40, cachedFirstToken: 15, betweenTokens: 8, reportLag: 300 }

const PREFIX_CHARACTERS = 200
const CACHED_PREFIXES = 16
const DEFAULT_TOKENS = 16

/**
 * Returns one token of an answer.
 *
 * @example
 * tokenOf(versionDigest, 'Draft a plan', 0) // 'w1f3a '
 */
export function tokenOf (version: string, prompt: string, index: number): string {
  return `w${(hash32(`${version} ${prompt} ${index}`) & 0xffff).toString(16)} `
}

/** Returns the complete text that an engine with a version answers. */
export function expectedText (version: string, prompt: string, tokens: number): string {
  return Array.from({ length: tokens }, (_, index) => tokenOf(version, prompt, index)).join('')
}

/** A model engine on loopback. */
export class ModelEngine extends HttpService {
  readonly journal: EngineJournal = { loads: [], partialLoads: 0, staleFences: 0, answers: 0, cancelled: 0, prefixHits: 0, prefixMisses: 0, runs: {} }
  /** How many of the next loads fail although the version is complete. */
  failLoads = 0
  /** While true, no answer makes progress. */
  frozen = false
  private readonly _chunks = new Map<string, Buffer>()
  private readonly _manifests = new Map<string, Buffer>()
  private readonly _prefixes = new Set<string>()
  private _version = ''
  private _loading = ''
  private _failed = ''
  private _fence = 0
  private _running = 0
  private _reportedRunning = 0

  constructor (private readonly _times: EngineTimes = defaultEngineTimes) {
    super(100_000)
  }

  /** Digest of the version that the engine serves. */
  get version (): string { return this._version }

  protected override async answer (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = request.url ?? ''
    const [, first, kind, rest = ''] = url.split('/')
    const [digest = '', query = ''] = rest.split('?')
    if (url === '/state') return this._state(response)
    if (url === '/staging') return sendJson(response, [...this._chunks.keys()])
    if (first === 'staging') return await this._staging(request, response, kind === 'manifests' ? this._manifests : this._chunks, digest, Number(query.replace('fence=', '')))
    if (url === '/take-over') return await this._takeOver(request, response)
    if (url === '/load') return await this._load(request, response)
    if (url === '/v1/chat/completions') return await this._chat(request, response)
    response.writeHead(404).end()
  }

  private _state (response: ServerResponse): void {
    sendJson(response, { version: this._version, loading: this._loading, failed: this._failed, fence: this._fence, running: this._reportedRunning })
  }

  private async _staging (request: IncomingMessage, response: ServerResponse, staged: Map<string, Buffer>, digest: string, fence: number): Promise<void> {
    if (request.method === 'DELETE' && fence < this._fence) {
      this.journal.staleFences += 1
      response.writeHead(409).end()
      return
    }
    if (request.method === 'PUT') staged.set(digest, await readAll(request))
    if (request.method === 'DELETE') staged.delete(digest)
    const bytes = staged.get(digest)
    if (request.method !== 'GET') response.writeHead(204).end()
    else if (bytes === undefined) response.writeHead(404).end()
    else response.end(bytes)
  }

  /** Accepts a new agent if its fence is above every earlier one. */
  private async _takeOver (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { fence } = JSON.parse((await readAll(request)).toString()) as { fence: number }
    const accepted = fence > this._fence
    if (accepted) this._fence = fence
    else this.journal.staleFences += 1
    response.writeHead(accepted ? 204 : 409).end()
  }

  private async _load (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { manifest, fence } = JSON.parse((await readAll(request)).toString()) as { manifest: string, fence: number }
    if (fence < this._fence) {
      this.journal.staleFences += 1
      response.writeHead(409).end()
      return
    }
    this._fence = fence
    this._loading = manifest
    this._failed = ''
    response.writeHead(202).end()
    const complete = await this._isComplete(manifest)
    if (!complete) this.journal.partialLoads += 1
    await pause(this._times.load)
    this.journal.loads.push({ manifest, fence, whole: complete, at: Date.now() })
    if (complete && this.failLoads === 0) this._version = manifest
    else this._failed = manifest
    this.failLoads = Math.max(0, this.failLoads - 1)
    this._loading = ''
  }

  /** Returns whether all of a version is staged and matches its digests, for the oracle. */
  private async _isComplete (manifestDigest: string): Promise<boolean> {
    const bytes = this._manifests.get(manifestDigest)
    if (bytes === undefined || await digestOf(bytes) !== manifestDigest) return false
    const checked = checkManifest(JSON.parse(bytes.toString()), Number.MAX_SAFE_INTEGER)
    if ('failure' in checked) return false
    for (const { digest } of checked.value.chunks) {
      const chunk = this._chunks.get(digest)
      if (chunk === undefined || await digestOf(chunk) !== digest) return false
    }
    return true
  }

  private async _chat (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = JSON.parse((await readAll(request)).toString()) as { model: string, messages: { content: string }[], stream?: boolean, max_tokens?: number }
    const version = this._version
    const fence = Number(request.headers['x-fence'] ?? this._fence)
    if (fence < this._fence) {
      this.journal.staleFences += 1
      response.writeHead(409).end()
      return
    }
    if (version === '' || this._loading !== '') {
      response.writeHead(503).end()
      return
    }
    const id = String(request.headers['x-request-id'] ?? '')
    this.journal.runs[id] = (this.journal.runs[id] ?? 0) + 1
    const prompt = body.messages.at(-1)?.content ?? ''
    const tokens = body.max_tokens ?? DEFAULT_TOKENS
    const resumeAfter = Number(request.headers['x-resume-after'] ?? 0)
    this._changeRunning(1)
    try {
      await this._untilThawed()
      await pause(this._firstTokenTime(prompt))
      const answer = { id, model: body.model, version, prompt, tokens, resumeAfter }
      const complete = body.stream === true ? await this._stream(answer, response) : await this._completion(answer, response)
      if (complete) this.journal.answers += 1
      else this.journal.cancelled += 1
    } finally {
      this._changeRunning(-1)
    }
  }

  private async _stream (answer: Answer, response: ServerResponse): Promise<boolean> {
    response.writeHead(200, { 'content-type': 'text/event-stream', 'x-model-version': answer.version })
    const send = (value: unknown): void => { response.write(`data: ${typeof value === 'string' ? value : JSON.stringify(value)}\n\n`) }
    const common = { id: `chatcmpl-${answer.id}`, object: 'chat.completion.chunk', created: Math.floor(Date.now() / 1000), model: answer.model }
    for (let index = answer.resumeAfter; index < answer.tokens; index += 1) {
      if (response.destroyed) return false
      send({ ...common, choices: [{ index: 0, delta: { role: 'assistant', content: tokenOf(answer.version, answer.prompt, index) }, finish_reason: null }] })
      await pause(this._times.betweenTokens)
      await this._untilThawed()
    }
    if (answer.resumeAfter <= answer.tokens) send({ ...common, choices: [{ index: 0, delta: {}, finish_reason: 'stop' }] })
    send('[DONE]')
    response.end()
    return !response.destroyed
  }

  private async _completion (answer: Answer, response: ServerResponse): Promise<boolean> {
    await pause(this._times.betweenTokens * answer.tokens)
    await this._untilThawed()
    if (response.destroyed) return false
    response.setHeader('x-model-version', answer.version)
    sendJson(response, {
      id: `chatcmpl-${answer.id}`,
      object: 'chat.completion',
      created: Math.floor(Date.now() / 1000),
      model: answer.model,
      choices: [{ index: 0, message: { role: 'assistant', content: expectedText(answer.version, answer.prompt, answer.tokens) }, finish_reason: 'stop' }],
      usage: { prompt_tokens: answer.prompt.length, completion_tokens: answer.tokens, total_tokens: answer.prompt.length + answer.tokens }
    })
    return true
  }

  private _firstTokenTime (prompt: string): number {
    const prefix = prompt.slice(0, PREFIX_CHARACTERS)
    const cached = this._prefixes.delete(prefix)
    this._prefixes.add(prefix)
    dropOldest(this._prefixes, CACHED_PREFIXES)
    this.journal[cached ? 'prefixHits' : 'prefixMisses'] += 1
    return cached ? this._times.cachedFirstToken : this._times.firstToken
  }

  /** Changes the number of running requests. The reported number follows after the lag of load reports. */
  private _changeRunning (change: number): void {
    this._running += change
    const reported = this._running
    setTimeout(() => { this._reportedRunning = reported }, this._times.reportLag)
  }

  private async _untilThawed (): Promise<void> {
    while (this.frozen) await pause(20)
  }
}

interface Answer {
  readonly id: string
  readonly model: string
  readonly version: string
  readonly prompt: string
  readonly tokens: number
  readonly resumeAfter: number
}
