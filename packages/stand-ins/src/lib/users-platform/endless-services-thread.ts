/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** The thread of `EndlessServices`. */
import { parentPort, workerData } from 'node:worker_threads'
import { EndlessService, type EndlessPace, type EndlessPart } from './endless-service.js'

/** What the thread is started with. */
export interface EndlessServicesPlan {
  readonly part: EndlessPart
  readonly pace: EndlessPace
  readonly count: number
}

/** One of the services. */
export interface EndlessServiceAddress {
  readonly id: string
  readonly address: string
}

/** What the thread reports: the services once they listen, then the number of their open connections whenever it has changed. */
export type EndlessServicesReport =
  | { readonly type: 'listening', readonly services: readonly EndlessServiceAddress[] }
  | { readonly type: 'connections', readonly count: number }

const REPORT_INTERVAL_MILLISECONDS = 20

function isPlan (data: unknown): data is EndlessServicesPlan { return typeof data === 'object' && data !== null && 'part' in data && 'pace' in data && 'count' in data }

async function run ({ part, pace, count }: EndlessServicesPlan, report: (message: EndlessServicesReport) => void): Promise<void> {
  const services = Array.from({ length: count }, (_, index) => new EndlessService(part, `endless-${index}`))
  for (const service of services) {
    service.pace = pace
    await service.listen()
  }
  report({ type: 'listening', services: services.map(({ id, address }) => ({ id, address })) })
  let reported = 0
  setInterval(() => {
    const connections = services.reduce((sum, service) => sum + service.connections, 0)
    if (connections === reported) return
    reported = connections
    report({ type: 'connections', count: connections })
  }, REPORT_INTERVAL_MILLISECONDS)
}

if (parentPort !== null && isPlan(workerData)) {
  const port = parentPort
  run(workerData, message => port.postMessage(message))
}
