/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** A crowd in a thread of its own, so that what it sends delays neither the callers nor the endpoints of the soak. */
import { workerData } from 'node:worker_threads'
import { RawClients } from '@drumdrift/stand-ins'
import { crowdBytes, type CrowdKind } from './crowds.js'

/** What the thread is started with. */
export interface CrowdPlan {
  readonly address: string
  readonly kind: CrowdKind
  readonly connections: number
  readonly key: string
}

function isPlan (data: unknown): data is CrowdPlan { return typeof data === 'object' && data !== null && 'kind' in data && 'connections' in data }

if (isPlan(workerData)) {
  const { address, kind, connections, key } = workerData
  new RawClients({ address, count: connections, blocks: index => crowdBytes[kind](`${kind}-${index}`, key) }) // eslint-disable-line no-new
}
