/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** What each fault does, from its begin until what it concerns is well again. */
import { setTimeout as pause } from 'node:timers/promises'
import type { LinkMode, StoreMode } from '@drumdrift/stand-ins'
import type { DaemonProcess } from './daemon-process.js'
import type { Deployment } from './deployment.js'
import type { EndpointStarts } from './endpoint-starts.js'
import type { EntryProcess } from './entry-process.js'
import type { FaultKind, PlannedFault } from './fault-plan.js'
import { DRAIN_BOUND } from './promises.js'

/** What a fault is done with. */
export interface FaultScene {
  readonly deployment: Deployment
  readonly fault: PlannedFault
  readonly entry: EntryProcess
  readonly endpoint: EndpointStarts
  readonly agent: DaemonProcess
}

/** Does a fault and undoes it. */
export type FaultHandler = (scene: FaultScene) => Promise<void>

const READY_PATIENCE = 15_000
/** The entry of an endpoint that ended without a word lapses after this, in milliseconds. */
const LAPSE_TIME = 3_000
/** An endpoint starts again so long after it has gone, in milliseconds. */
const SUCCESSOR_PAUSE = 500
/** How often all endpoints have written since the copy was made, so that its revisions lie far behind what entries follow. */
const WRITINGS_SINCE_COPY = 8
/** By then entries have heard of it, in milliseconds. */
const HEARING_TIME = 400
/** The store is away for a moment when it is restored, in milliseconds. */
const LONGEST_DRILL = 1_000
/** All is written again so long after a restore, in milliseconds. */
const REWRITE_PAUSE = 500

/** The handler of each fault. */
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
