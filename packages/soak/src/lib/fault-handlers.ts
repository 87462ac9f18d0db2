/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Handlers that inject each fault and wait until its target has recovered. */
import { setTimeout as pause } from 'node:timers/promises'
import { Worker } from 'node:worker_threads'
import { PIECES, type Behaviour, type HttpService, type Link, type LinkMode, type StoreMode, type UsersWorkerStandIn } from '@drumdrift/stand-ins'
import type { CrowdPlan } from './crowd-thread.js'
import type { CrowdKind } from './crowds.js'
import type { DaemonProcess } from './daemon-process.js'
import { STEADY_KEY, type Deployment } from './deployment.js'
import type { EndpointStarts } from './endpoint-starts.js'
import type { EntryProcess } from './entry-process.js'
import type { FaultKind, PlannedFault } from './fault-plan.js'
import { DRAIN_BOUND_MILLISECONDS } from './promises.js'

/** The fault to inject, and the deployment and targets that a handler may use. */
export interface FaultContext {
  readonly deployment: Deployment
  readonly fault: PlannedFault
  readonly entry: EntryProcess
  /** Link to one of the seeds. */
  readonly seedLink: Link
  readonly endpoint: EndpointStarts
  readonly agent: DaemonProcess
}

/** Injects a fault and reverts it. */
export type FaultHandler = (context: FaultContext) => Promise<void>

const READY_TIMEOUT_MILLISECONDS = 15_000
/** Time that requests wait in a long queue, as a multiple of the time during which they enter it. The longest is beyond the bound of a version. */
const QUEUE_PER_DURATION = 1.5
/** Time after which the record of a crashed endpoint expires, in milliseconds. */
const RECORD_EXPIRY_MILLISECONDS = 3_000
/** Time between the removal of an endpoint and its next start, in milliseconds. */
const REPLACEMENT_DELAY_MILLISECONDS = 500
/** How often all records are written between a snapshot and its restore, so that the snapshot's revision is far behind the entries'. */
const WRITES_SINCE_SNAPSHOT = 8
/** Time for the entries to receive these writes, in milliseconds. */
const PROPAGATION_MILLISECONDS = 400
/** Longest outage of the store during a restore, in milliseconds. */
const MAX_RESTORE_OUTAGE_MILLISECONDS = 1_000
/** Time between a restore and the writes that follow it, in milliseconds. */
const REWRITE_DELAY_MILLISECONDS = 500

/** Every so many writes to a staging memory, one takes effect late. */
const WRITES_PER_LATE_WRITE = 5
/** Number of writes of a fault, more than an agent sends meanwhile. */
const WRITES_PER_FAULT = 200
/** How long a fault waits for an agent to read a piece back, in milliseconds. */
const READ_TIMEOUT_MILLISECONDS = 6_000
/** Time after which corruption is no longer excused, in milliseconds. Until then, no orders of the engine are held, since an agent cannot take them back. */
const CORRUPTION_MILLISECONDS = 3_000

/** Handlers by kind of fault. */
export const faultHandlers: Record<FaultKind, FaultHandler> = {
  'entry-stops': restartEntry('stop'),
  'entry-killed': restartEntry('kill'),
  'entry-paused': async ({ fault, entry }) => { await pauseProcess(entry.daemon, fault) },
  'agent-stops': restartAgent('stop'),
  'agent-killed': restartAgent('kill'),
  'agent-paused': async ({ fault, agent }) => { await pauseProcess(agent, fault) },
  'entry-reloads': async ({ entry }) => { entry.daemon.signal('SIGHUP') },
  'store-way-cut': onStoreLink('cut'),
  'store-way-stalls': onStoreLink('stall'),
  'store-way-deaf': onStoreLink('deaf'),
  'store-way-mute': onStoreLink('mute'),
  'store-way-slow': async ({ entry, fault }) => { await delayLink(entry.plan.storeLink, fault) },
  'store-way-silent': async ({ entry }) => { entry.plan.storeLink.silenceOpenConnections() },
  'peers-way-slow': async ({ seedLink, fault }) => { await delayLink(seedLink, fault) },
  'all-way-slow': async ({ deployment: { entries, seedLinks }, fault }) => {
    await Promise.all([...entries.map(({ plan }) => plan.storeLink), ...seedLinks].map(link => delayLink(link, fault)))
  },
  'peers-way-silent': async ({ seedLink }) => { seedLink.silenceOpenConnections() },
  'store-down': async ({ deployment: { store }, fault }) => { await behave(store, 'down', fault) },
  'store-silent': inStoreMode('silent'),
  'store-turns-away': inStoreMode('turns-away'),
  'store-slow': async ({ deployment: { store }, fault }) => { await behave(store, 'slow', fault) },
  'origin-slow': async ({ deployment: { origin }, fault }) => {
    const usual = origin.delayMilliseconds
    origin.delayMilliseconds += fault.delayMilliseconds
    await pause(fault.durationMilliseconds)
    origin.delayMilliseconds = usual
  },
  'origin-down': async ({ deployment: { origin }, fault }) => { await behave(origin, 'down', fault) },
  'store-forgets': async ({ deployment }) => { deployment.store.compact() },
  'store-restored': async ({ deployment, fault }) => {
    const { store } = deployment
    store.takeSnapshot()
    await pause(fault.durationMilliseconds)
    for (let count = 0; count < WRITES_SINCE_SNAPSHOT; count += 1) deployment.rewriteRecords()
    await pause(PROPAGATION_MILLISECONDS)
    store.behaviour = 'down'
    store.restore()
    await pause(Math.min(MAX_RESTORE_OUTAGE_MILLISECONDS, fault.durationMilliseconds))
    store.behaviour = 'normal'
    await pause(REWRITE_DELAY_MILLISECONDS)
    deployment.rewriteAll()
    await pause(RECORD_EXPIRY_MILLISECONDS)
    deployment.removeExpiredRecords()
  },
  'endpoint-drains': async ({ deployment, endpoint }) => {
    deployment.writeRecord(endpoint, 'draining')
    await pause(DRAIN_BOUND_MILLISECONDS + REWRITE_DELAY_MILLISECONDS)
    deployment.removeRecord(endpoint)
    await startReplacement(deployment, endpoint)
  },
  'endpoint-crashes': async ({ deployment, endpoint }) => {
    endpoint.end()
    await pause(RECORD_EXPIRY_MILLISECONDS)
    deployment.removeRecord(endpoint)
    await startReplacement(deployment, endpoint)
  },
  'endpoint-sheds': inWorkerMode('sheds'),
  'endpoint-mute': inWorkerMode('mute'),
  'engine-queues': async ({ endpoint: { worker }, fault }) => {
    worker.queueMilliseconds = QUEUE_PER_DURATION * fault.durationMilliseconds
    await pause(fault.durationMilliseconds)
    worker.queueMilliseconds = 0
  },
  'orders-held': async ({ endpoint: { worker }, fault: { durationMilliseconds, delayMilliseconds } }) => {
    // The second order overtakes the first.
    worker.orderDelays = [delayMilliseconds, delayMilliseconds / 2]
    await pause(durationMilliseconds)
    worker.orderDelays = []
    await pause(delayMilliseconds)
  },
  'writes-held': async ({ endpoint: { worker }, fault: { durationMilliseconds, delayMilliseconds } }) => {
    worker.writeDelays = Array.from({ length: WRITES_PER_FAULT }, (_, index) => (index + 1) % WRITES_PER_LATE_WRITE === 0 ? delayMilliseconds : 0)
    await pause(durationMilliseconds)
    worker.writeDelays = []
    await pause(delayMilliseconds)
  },
  'piece-corrupted': async ({ endpoint: { worker }, fault }) => {
    worker.corruptPiece(Math.floor(fault.targetPosition * PIECES))
    await pause(CORRUPTION_MILLISECONDS)
  },
  'corrupted-after-read': async ({ deployment, endpoint: { worker }, fault: { durationMilliseconds, delayMilliseconds } }) => {
    await corruptAfterRead(deployment, worker)
    worker.readDelays = Array.from({ length: PIECES }, () => delayMilliseconds)
    await pause(durationMilliseconds)
    worker.readDelays = []
  },
  'paused-after-read': async ({ deployment, endpoint: { worker }, agent, fault }) => {
    if (!await corruptAfterRead(deployment, worker)) return
    await Promise.all([pauseProcess(agent, fault), pause(CORRUPTION_MILLISECONDS)])
  },
  'crowd-of-open-bodies': crowdOf('crowd-of-open-bodies'),
  'crowd-of-large-open-bodies': crowdOf('crowd-of-large-open-bodies'),
  'crowd-of-unknown-keys': crowdOf('crowd-of-unknown-keys'),
  'crowd-of-unknown-routes': crowdOf('crowd-of-unknown-routes'),
  'crowd-of-pipelines': crowdOf('crowd-of-pipelines'),
  'engine-silent': async ({ endpoint, fault }) => { await silence([endpoint], fault) },
  'engines-silent': async ({ deployment: { engines }, fault }) => { await silence(engines, fault) },
  'endpoint-way-cut': onEndpointLink('cut'),
  'endpoint-way-stalls': onEndpointLink('stall'),
  'endpoint-way-slow': onEndpointLink('delay'),
  'route-moves': async ({ deployment }) => { deployment.configure(deployment.configurations.at(-1)?.movingTo === 'desk' ? 'archive' : 'desk') },
  'key-revoked': async ({ deployment }) => {
    deployment.newestKeyNumber += 1
    deployment.configure(deployment.configurations.at(-1)?.movingTo ?? 'desk')
  },
  'configuration-written': async ({ deployment }) => { deployment.configure(deployment.configurations.at(-1)?.movingTo ?? 'desk') },
  'version-named': async ({ deployment }) => { deployment.publishVersion() }
}

function restartEntry (how: 'stop' | 'kill'): FaultHandler {
  return async ({ deployment, entry }) => {
    await entry.restart(how)
    await deployment.waitFor(() => entry.ready, READY_TIMEOUT_MILLISECONDS)
  }
}

function restartAgent (how: 'stop' | 'kill'): FaultHandler {
  return async ({ agent }) => {
    await agent[how]()
    agent.start()
  }
}

async function behave (service: HttpService, behaviour: Behaviour, fault: PlannedFault): Promise<void> {
  const usual = service.behaviour
  service.behaviour = behaviour
  await pause(fault.durationMilliseconds)
  service.behaviour = usual
}

async function delayLink (link: Link, { durationMilliseconds, delayMilliseconds }: PlannedFault): Promise<void> {
  link.delayMilliseconds = delayMilliseconds
  link.set('delay')
  await pause(durationMilliseconds)
  link.set('pass')
}

/** Opens the connections of a crowd, and closes them after the duration of the fault. */
function crowdOf (kind: CrowdKind): FaultHandler {
  return async ({ entry, fault: { connections = 0, durationMilliseconds } }) => {
    const plan: CrowdPlan = { address: entry.address, kind, connections, key: STEADY_KEY }
    const thread = new Worker(new URL('./crowd-thread.js', import.meta.url), { workerData: plan })
    await pause(durationMilliseconds)
    await thread.terminate()
  }
}

function onStoreLink (mode: LinkMode): FaultHandler {
  return async ({ entry, fault }) => {
    entry.plan.storeLink.set(mode)
    await pause(fault.durationMilliseconds)
    entry.plan.storeLink.set('pass')
  }
}

function onEndpointLink (mode: LinkMode): FaultHandler {
  return async ({ endpoint, fault }) => {
    const { link } = endpoint
    link.set(mode)
    await pause(fault.durationMilliseconds)
    link.set('pass')
  }
}

function inStoreMode (mode: StoreMode): FaultHandler {
  return async ({ deployment: { store }, fault }) => {
    store.mode = mode
    await pause(fault.durationMilliseconds)
    store.mode = 'answers'
  }
}

function inWorkerMode (mode: 'sheds' | 'mute'): FaultHandler {
  return async ({ endpoint, fault }) => {
    const { worker } = endpoint
    worker.mode = mode
    await pause(fault.durationMilliseconds)
    worker.mode = 'whole'
  }
}

async function silence (engines: readonly EndpointStarts[], fault: PlannedFault): Promise<void> {
  const workers = engines.map(({ worker }) => worker)
  for (const worker of workers) worker.silent = true
  await pause(fault.durationMilliseconds)
  for (const worker of workers) worker.silent = false
}

async function pauseProcess (daemon: DaemonProcess, fault: PlannedFault): Promise<void> {
  daemon.signal('SIGSTOP')
  await pause(fault.durationMilliseconds)
  daemon.signal('SIGCONT')
}

async function startReplacement (deployment: Deployment, endpoint: EndpointStarts): Promise<void> {
  await pause(REPLACEMENT_DELAY_MILLISECONDS)
  endpoint.end()
  await endpoint.start()
  deployment.writeRecord(endpoint, 'ready')
}

/** Corrupts a piece of the newest version as soon as it has been read back. Resolves in the same turn, to whether a piece was read. */
async function corruptAfterRead ({ versions }: Deployment, worker: UsersWorkerStandIn): Promise<boolean> {
  return await new Promise(resolve => {
    const finish = (read: boolean): void => {
      clearTimeout(timer)
      worker.onRead = () => {}
      resolve(read)
    }
    const timer = setTimeout(() => { finish(false) }, READ_TIMEOUT_MILLISECONDS)
    worker.onRead = place => {
      if (worker.version === versions.length || worker.staged.get(place)?.equals(worker.pieceOf(versions.length, place)) !== true) return
      worker.corruptPiece(place)
      finish(true)
    }
  })
}
