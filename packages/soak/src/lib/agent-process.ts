/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** The agent of an engine, as a separate process. */
import { DaemonProcess } from './daemon-process.js'
import type { EndpointPlan } from './endpoint-starts.js'
import type { SharedSettings } from './entry-process.js'

/** Heap limit in megabytes, as in the users' deployment. */
const HEAP_MEGABYTES = 96
const DESCRIPTORS = 1_024

/**
 * Creates the agent of an engine, without starting it.
 *
 * @param storeAddress Address of the store that the agent reads.
 * @example
 * const agent = agentProcess(endpoint.plan, store.address, shared)
 */
export function createAgentProcess ({ name, service, availabilityZone, host, port }: EndpointPlan, storeAddress: string, shared: SharedSettings): DaemonProcess {
  const settings = `
[process]
instance = agent-${name}
availability-zone = ${availabilityZone}
address = ${host}:${shared.agentPort}
stop-patience-seconds = ${shared.stopTimeoutSeconds}
[platform]
availability-zones = ${shared.availabilityZones.join(', ')}
store-address = ${storeAddress}
version-bound-milliseconds = ${shared.versionBound}
[peers]
seeds = ${shared.seeds.join(', ')}
key = soak
agent-port = ${shared.agentPort}
[endpoint]
name = ${service}
address = ${host}:${port}
[weights]
link-megabits-per-second = 10
link-percent = 75
memory-megabytes = 8
`
  return new DaemonProcess({ instance: `agent-${name}`, role: 'weights-agent', directory: shared.directory, heapMegabytes: HEAP_MEGABYTES, descriptors: DESCRIPTORS, settings })
}
