/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Handlers that inject each fault and wait until its target has recovered. */
import { setTimeout as pause } from 'node:timers/promises'
import type { LinkMode, StoreMode } from '@drumdrift/stand-ins'
import type { DaemonProcess } from './daemon-process.js'
import type { Deployment } from './deployment.js'
import type { EndpointStarts } from './endpoint-starts.js'
import type { EntryProcess } from './entry-process.js'
import type { FaultKind, PlannedFault } from './fault-plan.js'
import { DRAIN_BOUND } from './promises.js'

/** Targets that are available to a fault handler. */
export interface FaultScene {
  readonly deployment: Deployment
  readonly fault: PlannedFault
  readonly entry: EntryProcess
  readonly endpoint: EndpointStarts
  readonly agent: DaemonProcess
}

/** Injects a fault and reverts it. */
export type FaultHandler = (scene: FaultScene) => Promise<void>

const READY_PATIENCE = 15_000
/** Time after which the record of a crashed endpoint expires, in milliseconds. */
const LAPSE_TIME = 3_000
/** Time between the removal of an endpoint and its next start, in milliseconds. */
const SUCCESSOR_PAUSE = 500
/** How often all records are written between a snapshot and its restore, so that the snapshot's revision is far behind the entries'. */
const WRITINGS_SINCE_COPY = 8
/** Time for the entries to receive these writes, in milliseconds. */
const HEARING_TIME = 400
/** Longest outage of the store during a restore, in milliseconds. */
const LONGEST_DRILL = 1_000
/** Time between a restore and the writes that follow it, in milliseconds. */
const REWRITE_PAUSE = 500

/** Handlers by kind of fault. */
export const faultHandlers: Record<FaultKind, FaultHandler> = {
  'entry-stops': restartEntry('stop'),
  'entry-killed': restartEntry('kill'),
  'entry-paused': async ({ fault, entry }) => { await pauseProcess(entry.daemon, fault) },
  'agent-stops': restartAgent('stop'),
  'agent-killed': restartAgent('kill'),
  'agent-paused': async ({ fault, agent }) => { await pauseProcess(agent, fault) },
  'entry-reloads': async ({ entry }) => { entry.daemon.signal('SIGHUP') },
  'store-way-cut': onStoreWay('cut'),
  'store-way-stalls': onStoreWay('stall'),
  'store-way-deaf': onStoreWay('deaf'),
  'store-way-mute': onStoreWay('mute'),
  'store-way-slow': onStoreWay('delay'),
  'store-down': async ({ deployment: { store }, fault }) => {
    store.behaviour = 'down'
    await pause(fault.lasts)
    store.behaviour = 'normal'
  },
  'store-silent': inStoreMode('silent'),
  'store-turns-away': inStoreMode('turns-away'),
  'store-slow': async ({ deployment: { store }, fault }) => {
    store.behaviour = 'slow'
    await pause(fault.lasts)
    store.behaviour = 'normal'
  },
  'store-forgets': async ({ deployment }) => { deployment.store.compact() },
  'store-restored': async ({ deployment, fault }) => {
    const { store } = deployment
    store.makeCopy()
    await pause(fault.lasts)
    for (let count = 0; count < WRITINGS_SINCE_COPY; count += 1) deployment.writeEndpoints()
    await pause(HEARING_TIME)
    store.behaviour = 'down'
    store.restore()
    await pause(Math.min(LONGEST_DRILL, fault.lasts))
    store.behaviour = 'normal'
    await pause(REWRITE_PAUSE)
    deployment.writeAgain()
    await pause(LAPSE_TIME)
    deployment.lapse()
  },
  'endpoint-drains': async ({ deployment, endpoint }) => {
    deployment.list(endpoint, 'draining')
    await pause(DRAIN_BOUND + REWRITE_PAUSE)
    deployment.unlist(endpoint)
    await succeed(deployment, endpoint)
  },
  'endpoint-crashes': async ({ deployment, endpoint }) => {
    endpoint.end()
    await pause(LAPSE_TIME)
    deployment.unlist(endpoint)
    await succeed(deployment, endpoint)
  },
  'endpoint-sheds': inWorkerMode('sheds'),
  'endpoint-mute': inWorkerMode('mute'),
  'endpoint-way-cut': onEndpointWay('cut'),
  'endpoint-way-stalls': onEndpointWay('stall'),
  'endpoint-way-slow': onEndpointWay('delay'),
  'route-moves': async ({ deployment }) => { deployment.configure(deployment.configurations.at(-1)?.movingTo === 'desk' ? 'archive' : 'desk') },
  'key-revoked': async ({ deployment }) => {
    deployment.turn += 1
    deployment.configure(deployment.configurations.at(-1)?.movingTo ?? 'desk')
  },
  'configuration-written': async ({ deployment }) => { deployment.configure(deployment.configurations.at(-1)?.movingTo ?? 'desk') },
  'version-named': async ({ deployment }) => { deployment.nameVersion() }
}

function restartEntry (how: 'stop' | 'kill'): FaultHandler {
  return async ({ deployment, entry }) => {
    await entry.restart(how)
    await deployment.until(() => entry.ready, READY_PATIENCE)
  }
}

function restartAgent (how: 'stop' | 'kill'): FaultHandler {
  return async ({ agent }) => {
    await agent[how]()
    agent.start()
  }
}

function onStoreWay (mode: LinkMode): FaultHandler {
  return async ({ entry, fault }) => {
    entry.plan.storeWay.set(mode)
    await pause(fault.lasts)
    entry.plan.storeWay.set('pass')
  }
}

function onEndpointWay (mode: LinkMode): FaultHandler {
  return async ({ endpoint, fault }) => {
    const { way } = endpoint
    way.set(mode)
    await pause(fault.lasts)
    way.set('pass')
  }
}

function inStoreMode (mode: StoreMode): FaultHandler {
  return async ({ deployment: { store }, fault }) => {
    store.mode = mode
    await pause(fault.lasts)
    store.mode = 'answers'
  }
}

function inWorkerMode (mode: 'sheds' | 'mute'): FaultHandler {
  return async ({ endpoint, fault }) => {
    const { worker } = endpoint
    worker.mode = mode
    await pause(fault.lasts)
    worker.mode = 'whole'
  }
}

async function pauseProcess (daemon: DaemonProcess, fault: PlannedFault): Promise<void> {
  daemon.signal('SIGSTOP')
  await pause(fault.lasts)
  daemon.signal('SIGCONT')
}

async function succeed (deployment: Deployment, endpoint: EndpointStarts): Promise<void> {
  await pause(SUCCESSOR_PAUSE)
  endpoint.end()
  await endpoint.start()
  deployment.list(endpoint, 'ready')
}
