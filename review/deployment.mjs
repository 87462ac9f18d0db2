/**
 * A small deployment on loopback for the cases of this review: the project's own programs, started with the commands of the deploy
 * file and settings made from its templates, beside small stand-ins of the platform's store, the origin of weights, workers and clients.
 * Each machine has a loopback address of its own, so that ports are the same on all machines.
 */
import { spawn } from 'node:child_process'
import { createHash } from 'node:crypto'
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, request as openRequest } from 'node:http'
import { createServer as createNetServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { setTimeout as pause } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'

export { pause }

export const ROOT = dirname(dirname(fileURLToPath(import.meta.url)))
/** Whether the disruption of the case happens. */
export const TROUBLE = process.env.TROUBLE !== '0'

const ZONES = { 'hall-a': 'north', 'hall-b': 'south', 'hall-c': 'west' }
const zoneNames = Object.keys(ZONES)
export const MODEL = 'm'
export const HOST = 'halls.example'
export const API_KEY = 'key-1'
export const TENANT = 'branch'
export const HEARTBEAT_MS = 1200
/** The figures of the small site files. */
export const BOUNDS = { contactMs: 3000, ackMs: 4000, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, outerMs: 5000, budgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 100, recoverS: 12, version_ms: 8000 }

/** The record of what was sent, answered and run. */
export class Record {
  constructor (file) {
    this.file = file
    this.startedAt = performance.now()
    this.lines = []
    writeFileSync(file, '')
  }

  get time () { return (performance.now() - this.startedAt) / 1000 }

  add (...words) {
    this.lines.push(`${this.time.toFixed(3)} ${words.join(' ')}\n`)
    if (this.lines.length >= 200) this.flush()
  }

  /** Also prints the line. */
  say (...words) {
    this.add(...words)
    console.log(words.join(' '))
  }

  flush () {
    appendFileSync(this.file, this.lines.join(''))
    this.lines = []
  }
}

/** Fills a settings template of the deploy file, as DEPLOY.md describes templates. */
export function fillTemplate (text, fields) {
  const look = (path, scope) => path.split('.').reduce((value, name) => value?.[name], scope)
  const show = value => value === undefined ? '' : Array.isArray(value) ? value.join(',') : typeof value === 'object' ? JSON.stringify(value) : String(value)
  const loops = text.replace(/\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_, path, body) => {
    const entries = Object.entries(look(path, fields) ?? {})
    return entries.map(([key, value], index) => body.replaceAll('{{@}}', key).replaceAll('{{.}}', show(value)).replaceAll('{{,}}', index < entries.length - 1 ? ',' : '')).join('')
  })
  return loops.replace(/\{\{([\w.]+)\}\}/g, (_, path) => show(look(path, fields)))
}

/** Reads the command and the template of a role from the deploy file. */
function readRole (name) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
  const section = text.split(`[roles.${name}]`)[1].split('\n[')[0]
  const value = key => new RegExp(`^${key} = "(.*)"$`, 'm').exec(section)[1]
  return { run: value('run').split(' '), template: readFileSync(join(ROOT, value('template')), 'utf8') }
}

function isFree (host, port) {
  return new Promise(resolve => {
    const server = createNetServer()
    server.once('error', () => resolve(false))
    server.listen(port, host, () => server.close(() => resolve(true)))
  })
}

/** Finds loopback addresses whose ports are free. */
async function findNetwork () {
  for (let attempt = 0; attempt < 50; attempt += 1) {
    const network = `127.${16 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`
    if (await isFree(`${network}.1`, 9464) && await isFree(`${network}.1`, 7700)) return network
  }
  throw new Error('no free loopback addresses')
}

export function sendJson (response, value, status = 200, headers = {}) {
  response.writeHead(status, { 'content-type': 'application/json', ...headers })
  response.end(JSON.stringify(value))
}

export async function readAll (request) {
  const parts = []
  for await (const part of request) parts.push(part)
  return Buffer.concat(parts)
}

/** An HTTP stand-in. */
export class Service {
  constructor () {
    this.server = createServer((request, response) => { this.answer(request, response).catch(() => response.destroy()) })
    this.server.keepAliveTimeout = 30_000
  }

  listen (host, port) {
    this.address = `${host}:${port}`
    return new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, resolve)
    })
  }

  close () {
    this.server.close()
    this.server.closeAllConnections()
  }
}

/** The platform's store: items with revisions, range reads and watches. */
export class Store extends Service {
  constructor () {
    super()
    this.items = new Map()
    this.history = []
    this.revision = 1
    this.watches = new Set()
  }

  put (key, document) { return this.change({ key, value: Buffer.from(JSON.stringify(document)).toString('base64') }) }
  remove (key) { return this.change({ key, removed: true }) }

  change (part) {
    this.revision += 1
    const event = { ...part, revision: this.revision, createdRev: this.items.get(part.key)?.createdRev ?? this.revision, lease: 0 }
    if (part.removed) this.items.delete(part.key)
    else this.items.set(part.key, event)
    this.history.push(event)
    for (const watch of [...this.watches]) this.tryAnswer(watch)
    return this.revision
  }

  tryAnswer (watch) {
    const events = this.history.filter(event => event.key.startsWith(watch.prefix) && event.revision > watch.after)
    if (events.length === 0) return false
    this.watches.delete(watch)
    clearTimeout(watch.timer)
    sendJson(watch.response, { events, storeRevision: this.revision })
    return true
  }

  async answer (request, response) {
    const url = new URL(request.url, 'http://store')
    const prefix = url.searchParams.get('pathPrefix') ?? ''
    if (url.pathname === '/api/kv-range') {
      const after = url.searchParams.get('sinceRev') ?? ''
      const items = [...this.items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((left, right) => left.key < right.key ? -1 : 1)
      return sendJson(response, { items: items.slice(0, 500), truncated: items.length > 500, storeRevision: this.revision })
    }
    if (url.pathname !== '/api/kv-watch') return sendJson(response, {}, 404)
    const watch = { prefix, after: Number(url.searchParams.get('sinceRev')), response }
    if (this.tryAnswer(watch)) return
    this.watches.add(watch)
    watch.timer = setTimeout(() => {
      this.watches.delete(watch)
      sendJson(response, { events: [], storeRevision: this.revision })
    }, Number(url.searchParams.get('waitMs')))
    response.on('close', () => {
      clearTimeout(watch.timer)
      this.watches.delete(watch)
    })
  }
}

export const PIECES = 96
export const PIECE_BYTES = 24_576
export const digestOf = bytes => createHash('sha256').update(bytes).digest('hex')

/** The origin of weights. `pieceOf` tells the bytes of each piece of a version. */
export class Origin extends Service {
  constructor (pieceOf, record) {
    super()
    this.pieceOf = pieceOf
    this.record = record
    this.piecesSent = 0
    /** May change the text of a manifest before it is sent. */
    this.spoilManifest = text => text
  }

  async answer (request, response) {
    const url = new URL(request.url, 'http://origin')
    const version = Number(url.searchParams.get('version'))
    if (url.pathname === `/api/manifest/${MODEL}`) {
      const digests = Array.from({ length: PIECES }, (_, index) => digestOf(this.pieceOf(version, index)))
      const sound = JSON.stringify({ model: MODEL, version, chunkBytes: PIECE_BYTES, layers: 16, digests })
      const text = this.spoilManifest(sound, version)
      this.record.add(`origin: manifest of version ${version} sent${text === sound ? '' : ', spoilt'}`)
      response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
      return response.end(text)
    }
    if (url.pathname !== `/api/piece/${MODEL}`) return sendJson(response, {}, 404)
    this.piecesSent += 1
    // 7.3 Mbit/s, as on the sheets: 27 ms a piece.
    this.freeAt = Math.max(performance.now(), this.freeAt ?? 0) + 27
    await pause(this.freeAt - performance.now())
    response.writeHead(200).end(this.pieceOf(version, Number(url.searchParams.get('sampleCount'))))
  }
}

/** The parts of a worker that all services share. */
export class Worker extends Service {
  constructor (id, service, zone, record) {
    super()
    Object.assign(this, { id, service, zone, record, state: 'ready', seq: 0, slots: 16, runs: [], born: Date.now() })
  }

  entry () {
    this.seq += 1
    return { service: this.service, address: this.address, zone: this.zone, version: 'v1', slots: this.slots, state: this.state, coldRemainingMs: 0, born: this.born, seq: this.seq, ...this.details() }
  }

  details () { return {} }

  /** Writes its entry into the store at each heartbeat. The store changes the item if more than `seq` differs. */
  beat (store) {
    let written = ''
    const write = () => {
      const entry = this.entry()
      const text = JSON.stringify({ ...entry, seq: 0 })
      if (text !== written) store.put(`servers/${this.id}`, entry)
      written = text
    }
    write()
    this.timer = setInterval(write, HEARTBEAT_MS)
  }

  close () {
    clearInterval(this.timer)
    super.close()
  }

  head (request) { return { 'x-attempt-id': String(request.headers['x-attempt-id']), 'x-server-seal': `seal.${this.id}.${request.headers['x-attempt-id']}` } }

  notRun (response, status, why) {
    this.record.add(`worker ${this.id}: not run, ${status} ${why}`)
    sendJson(response, {}, status, { 'x-not-run': '1', 'x-instance-id': this.id, 'at-server': this.id })
  }

  /** Records a request that begins to run. */
  ran (request) {
    const run = { id: request.headers['x-attempt-id'], at: performance.now() }
    this.runs.push(run)
    this.record.add(`worker ${this.id}: runs ${run.id} ${request.method} ${request.url}`)
    return run
  }
}

/** A worker of a plain service. */
export class PlainWorker extends Worker {
  constructor (...parts) {
    super(...parts)
    this.slots = 6
    this.workMs = 60
    this.inProgress = 0
  }

  async answer (request, response) {
    const body = await readAll(request)
    if (request.url === '/health') return sendJson(response, {}, 200, { 'x-instance-id': this.id })
    if (request.headers['x-expect-instance'] !== undefined && request.headers['x-expect-instance'] !== this.id) return this.notRun(response, 421, 'another instance is expected')
    this.ran(request)
    this.inProgress += 1
    await pause(this.workMs)
    this.inProgress -= 1
    this.respond(request, response, body)
  }

  respond (request, response) {
    const bytes = Buffer.from(`answer of ${this.id} to ${request.headers['x-attempt-id']}${'.'.repeat(700)}`)
    response.writeHead(200, { ...this.head(request), 'content-length': bytes.length }).end(bytes)
  }
}

/** A model worker: streams events, stages pieces and takes orders. */
export class ModelWorker extends Worker {
  constructor (id, service, zone, record, origin) {
    super(id, service, zone, record)
    this.origin = origin
    this.staged = new Map()
    this.version = 1
    this.busy = false
    this.running = 0
    this.orders = 0
    this.events = 18
    this.eventMs = 20
    /** The pieces as they were taken with the version that is served. */
    this.taken = undefined
    this.tokensOfBadPieces = 0
    this.firstBad = undefined
  }

  /** The workers of the start hold version 1, staged too. */
  holdFirstVersion () {
    for (let index = 0; index < PIECES; index += 1) this.staged.set(index, this.origin.pieceOf(1, index))
    this.taken = new Map(this.staged)
  }

  details () { return { stage: 'both', models: this.models() } }
  models () { return this.version === 0 ? [] : [{ name: MODEL, version: this.version, adapters: [] }] }

  async answer (request, response) {
    const url = new URL(request.url, 'http://worker')
    if (url.pathname === '/api/report') return sendJson(response, { stage: 'both', models: this.models(), busy: this.busy, seq: this.orders, born: this.born, waiting: 0, running: this.running, kvUsed: this.running * 900, kvTotal: 317_000, handles: 0, pace: 1 })
    if (url.pathname === `/api/stage-put/${MODEL}`) {
      this.staged.set(Number(url.searchParams.get('sampleCount')), await readAll(request))
      return sendJson(response, {})
    }
    if (url.pathname === `/api/stage-get/${MODEL}`) return this.readBack(url.searchParams.get('sampleCount'), response)
    if (url.pathname === '/api/order') return this.order(JSON.parse(String(await readAll(request))), response)
    await readAll(request)
    if (url.pathname === '/health') return sendJson(response, {}, 200, { 'x-instance-id': this.id })
    const { 'x-expect-instance': instance, 'x-expect-version': version } = request.headers
    if (instance !== undefined && instance !== this.id) return this.notRun(response, 421, 'another instance is expected')
    if (this.busy || this.version === 0 || this.running >= this.slots) return this.notRun(response, 503, this.busy ? 'busy' : 'full')
    if (version !== undefined && Number(version) !== this.version) return this.notRun(response, 421, 'another version is expected')
    this.stream(request, response)
  }

  readBack (index, response) {
    if (index === null) return sendJson(response, { held: [...this.staged.keys()] })
    const bytes = this.staged.get(Number(index))
    if (bytes === undefined) return sendJson(response, {}, 404)
    response.writeHead(200).end(bytes)
  }

  /** `queue`: takes the staged pieces now, loads them after what runs, and takes nothing new until then. */
  async order ({ op, model, version }, response) {
    if (op !== 'start' || model !== MODEL) return sendJson(response, {}, 400)
    if (version === this.version) return sendJson(response, {}, 200)
    if (this.busy) return sendJson(response, {}, 409)
    this.orders += 1
    this.busy = true
    const taken = new Map(this.staged)
    this.record.add(`worker ${this.id}: takes order to start version ${version}`)
    sendJson(response, {}, 202)
    while (this.running > 0) await pause(5)
    await pause(300)
    this.taken = taken
    this.version = version
    this.busy = false
    this.record.say(`worker ${this.id}: serves version ${version}; pieces that are missing or of another version: ${this.badPieces().join(' ') || 'none'}`)
  }

  /** The indexes of pieces of the served version that were missing, spoilt or of another version when they were taken. */
  badPieces () {
    const indexes = Array.from({ length: PIECES }, (_, index) => index)
    return indexes.filter(index => this.taken?.get(index)?.equals(this.origin.pieceOf(this.version, index)) !== true)
  }

  async stream (request, response) {
    this.running += 1
    const run = this.ran(request)
    const bad = this.badPieces()
    response.on('close', () => { run.closed = true })
    response.writeHead(200, { ...this.head(request), 'content-type': 'text/event-stream', 'x-weight-versions': String(this.version) })
    const from = Number(request.headers['last-event-id'] ?? 0)
    for (let event = from + 1; event <= this.events && run.closed !== true; event += 1) {
      await pause(this.eventMs)
      response.write(`id: ${event}\ndata: piece ${event} of ${request.headers['x-attempt-id']}\n\n`)
      if (bad.length === 0) continue
      this.tokensOfBadPieces += 1
      this.firstBad ??= `worker ${this.id} made a token of ${run.id} on version ${this.version} with bad pieces ${bad.join(' ')}`
    }
    response.end()
    this.running -= 1
  }
}

const engine = {
  slots: 16, stride: 5, step_ms: 9.27, per_seq_ms: 0.02, context_per_k: 0.03, read_per_s: 20_700, chunk: 2048, usual: { prompt: 900, answer: 90 }, models: [{ name: MODEL, warmS: 0.3 }], layers: 16, chunks: PIECES, chunkBytes: PIECE_BYTES, report_lag_ms: 100
}

/** The operator's configuration, with the figures of a small site. */
export function configuration (version, originAddress) {
  const route = { host: HOST, priority: 1, maxAttempts: 2, public: false, sticky: false, resumable: false }
  const service = { healthPath: '/health', protocol: 'h1', tls: false }
  return {
    version,
    routes: [
      { ...route, name: 'draft', pathPrefix: '/draft/', kind: 'streaming', service: 'pool', timeoutMs: 6000, targetLatencyMs: 500, gapAimMs: 400, resumable: true, sticky: true },
      { ...route, name: 'confirm', pathPrefix: '/confirm/', kind: 'unsafe', service: 'desk', timeoutMs: 1500, targetLatencyMs: 300 },
      { ...route, name: 'lookup', pathPrefix: '/lookup/', kind: 'safe', service: 'desk', timeoutMs: 1500, targetLatencyMs: 300 }
    ],
    services: [
      { ...service, name: 'pool', maxConns: 264, engine },
      { ...service, name: 'desk', maxConns: 96 },
      { ...service, name: 'misc', maxConns: 48, origin: originAddress, zone: zoneNames[1], linkMbps: 7.3 }
    ],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
    tenants: [{ name: TENANT, apiKeys: [API_KEY] }]
  }
}

/** A process of the system, started with the command of the deploy file. */
export class Machine {
  constructor (role, fields, directory, record) {
    Object.assign(this, { role, fields, record, name: fields.nodeName })
    const { run, template } = readRole(role)
    this.run = run
    this.file = join(directory, `${this.name}.ini`)
    writeFileSync(this.file, fillTemplate(template, fields))
  }

  start () {
    const [command, ...parts] = this.run
    const env = { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG ?? 'C', DRUMDRIFT_CONFIG: this.file }
    const child = spawn(command === 'node' ? process.execPath : command, parts, { cwd: ROOT, env, stdio: ['ignore', 'pipe', 'pipe'] })
    this.child = child
    this.record.add(`machine ${this.name}: started`)
    const log = bytes => {
      for (const line of String(bytes).split('\n')) if (line !== '') this.record.add(`log ${this.name}: ${line}`)
    }
    child.stdout.on('data', log)
    child.stderr.on('data', log)
    child.on('exit', (code, signal) => {
      if (this.child === child) this.child = undefined
      this.record.add(`machine ${this.name}: ended with ${code ?? signal}`)
    })
  }

  signal (name) {
    this.record.add(`machine ${this.name}: gets ${name}`)
    this.child?.kill(name)
  }

  /** Kills the process and starts it again after a short delay, as the platform does. */
  async restart (downMs = 300) {
    this.signal('SIGKILL')
    while (this.child !== undefined) await pause(5)
    await pause(downMs)
    this.start()
  }
}

/** A deployment of 3 entries, model workers with their agents, and workers of a plain service. */
export class Deployment {
  constructor (record, pieceOf) {
    this.record = record
    this.directory = mkdtempSync(join(tmpdir(), 'drumdrift-review-'))
    this.store = new Store()
    this.origin = new Origin(pieceOf, record)
    this.workers = []
    this.desks = []
    this.entries = []
    this.agents = []
    this.outcomes = []
    this.nextId = 0
  }

  get machines () { return [...this.entries, ...this.agents] }

  async start ({ workers = 4, desks = 3, desk = (...parts) => new PlainWorker(...parts) } = {}) {
    const network = await findNetwork()
    const ip = number => `${network}.${number}`
    await this.store.listen(ip(200), 8007)
    await this.origin.listen(ip(201), 8001)
    const seeds = [1, 2, 3].map(number => `${ip(number)}:8000`)
    const fieldsOf = (nodeName, number, zone) => ({ nodeName, zone, region: ZONES[zone], ip: ip(number), zones: ZONES, seeds, internalPorts: [7700, 7715], bounds: BOUNDS, platform: { address: this.store.address } })
    for (let index = 0; index < 3; index += 1) {
      const at = ip(index + 1)
      const listen = { front: `${at}:8005`, readiness: `${at}:8002`, control: `${at}:8000` }
      this.entries.push(new Machine('entry', { ...fieldsOf(`edge-${zoneNames[index]}-1`, index + 1, zoneNames[index]), listen, limits: { memoryMb: 350 } }, this.directory, this.record))
    }
    for (let index = 0; index < workers; index += 1) {
      const zone = zoneNames[index % 3]
      const worker = new ModelWorker(`i-pool-${index + 1}`, 'pool', zone, this.record, this.origin)
      await worker.listen(ip(20 + index), 8001)
      worker.holdFirstVersion()
      worker.beat(this.store)
      this.workers.push(worker)
      this.agents.push(new Machine('agent', { ...fieldsOf(`side-${zone}-${index + 1}`, 20 + index, zone), service: 'pool', app: worker.address, limits: { linkMbps: 7.3 } }, this.directory, this.record))
    }
    for (let index = 0; index < desks; index += 1) {
      const worker = desk(`i-desk-${index + 1}`, 'desk', zoneNames[index % 3], this.record)
      await worker.listen(ip(60 + index), 8001)
      worker.beat(this.store)
      this.desks.push(worker)
    }
    this.store.put('op/config', configuration(1, this.origin.address))
    this.store.put(`op/version/${MODEL}`, { model: MODEL, version: 1 })
    for (const machine of this.machines) machine.start()
    await this.untilReady(12_000)
  }

  async untilReady (timeout) {
    const until = performance.now() + timeout
    for (const entry of this.entries) {
      while (!await isReady(entry.fields.listen.readiness)) {
        if (performance.now() > until) throw new Error(`${entry.name} is not ready`)
        await pause(100)
      }
    }
  }

  /** Sends one request of a client and records the outcome. */
  async send (kind, { entry = this.entries[Math.floor(Math.random() * this.entries.length)], deadline, agent } = {}) {
    this.nextId += 1
    const id = `a${this.nextId}`
    const wait = deadline ?? (kind === 'draft' ? 6033 : 1512)
    const headers = { host: HOST, 'x-attempt-id': id, 'x-credential': API_KEY, 'x-deadline-ms': String(wait), ...(kind === 'draft' ? { 'x-model': MODEL, 'x-token-usage': '900,90', 'x-prompt-prefix': `5c1e07a2:40,${(7_000_000 + this.nextId).toString(16)}:860` } : {}) }
    const [host, port] = entry.fields.listen.front.split(':')
    const sentAt = performance.now()
    this.record.add(`client: sends ${id} ${kind} to ${entry.name}`)
    const outcome = { id, kind, entry, sentAt, ...await exchange({ host, port, method: kind === 'lookup' ? 'GET' : 'POST', path: `/${kind}/${id}`, headers, agent, body: kind === 'lookup' ? '' : 'question' }, wait) }
    outcome.took = performance.now() - sentAt
    this.record.add(`client: ${id} ${kind} ends with ${outcome.status === 0 ? outcome.error : outcome.status}${outcome.whole ? '' : ' not whole'} after ${outcome.took.toFixed(0)} ms seal=${outcome.headers['x-server-seal'] ?? ''} ${outcome.status >= 300 ? outcome.body.slice(0, 160) : ''}`)
    this.outcomes.push(outcome)
    return outcome
  }

  /** Sends requests of a kind at a steady rate for some time. Resolves once all have ended. */
  async load (kind, perSecond, seconds, options) {
    const sent = []
    const startedAt = performance.now()
    for (let index = 0; index < perSecond * seconds; index += 1) {
      await pause(Math.max(0, startedAt + index * 1000 / perSecond - performance.now()))
      sent.push(this.send(kind, options))
    }
    return await Promise.all(sent)
  }

  async close () {
    for (const machine of this.machines) machine.child?.kill('SIGKILL')
    while (this.machines.some(({ child }) => child !== undefined)) await pause(10)
    for (const service of [...this.workers, ...this.desks, this.store, this.origin]) service.close()
    rmSync(this.directory, { recursive: true, force: true })
    this.record.flush()
  }
}

/** Sends a request, and waits for its answer until the client gives it up. */
export function exchange ({ body, ...options }, patience) {
  return new Promise(resolve => {
    const result = { status: 0, headers: {}, body: '', whole: false, error: 'no answer' }
    const outgoing = openRequest(options)
    const end = part => {
      clearTimeout(timer)
      outgoing.destroy()
      resolve(Object.assign(result, part))
    }
    const timer = setTimeout(() => end({ gaveUp: true, error: 'no answer, given up' }), patience)
    outgoing.on('error', error => end({ error: error.code ?? error.message }))
    outgoing.on('response', response => {
      result.status = response.statusCode
      result.headers = response.headers
      response.on('data', bytes => { result.body += bytes })
      response.on('error', () => end({}))
      response.on('end', () => {
        clearTimeout(timer)
        resolve(Object.assign(result, { whole: response.complete }))
      })
    })
    outgoing.end(body)
  })
}

async function isReady (address) {
  const [host, port] = address.split(':')
  return (await exchange({ host, port, path: '/api/ready', body: '' }, 500)).status === 200
}

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase (directory, pieceOf, play) {
  const record = new Record(join(directory, 'record.txt'))
  const deployment = new Deployment(record, pieceOf)
  let code = 2
  try {
    record.say(`trouble: ${TROUBLE ? 'yes' : 'no'}`)
    code = await play(deployment, record) ? 1 : 0
    record.say(code === 1 ? 'the rule was broken' : 'the rule held')
  } catch (error) {
    record.say(`the case could not run: ${error.stack}`)
  } finally {
    await deployment.close()
  }
  process.exit(code)
}
