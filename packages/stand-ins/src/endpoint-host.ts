/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** A process that hosts endpoint stand-ins and executes orders from its parent process, received over the IPC channel. */
import { ModelEngine } from './lib/model-engine.js'
import { PlainService } from './lib/plain-service.js'
import type { HostOrder, HostReply } from './lib/host-messages.js'

const engines = new Map<number, ModelEngine>()
const plainServices = new Map<number, PlainService>()

async function execute (order: HostOrder): Promise<HostReply> {
  if (order.type === 'engine') {
    const engine = new ModelEngine(order.times)
    engines.set(order.port, engine)
    await engine.listen(order.port)
  }
  if (order.type === 'plain') {
    const plain = new PlainService(order.duration)
    plainServices.set(order.port, plain)
    await plain.listen(order.port)
  }
  if (order.type === 'freeze') {
    const engine = engines.get(order.port)
    if (engine !== undefined) engine.frozen = order.frozen
  }
  if (order.type === 'behave') {
    const service = engines.get(order.port) ?? plainServices.get(order.port)
    if (service !== undefined) service.behaviour = order.behaviour
  }
  if (order.type === 'fail-loads') {
    const engine = engines.get(order.port)
    if (engine !== undefined) engine.failLoads = order.count
  }
  return {
    id: order.id,
    engines: order.type === 'journal' ? [...engines].map(([port, engine]) => ({ port, version: engine.version, journal: engine.journal })) : [],
    plains: order.type === 'journal' ? [...plainServices].map(([port, plain]) => ({ port, runs: plain.runs })) : []
  }
}

process.on('message', (order: HostOrder) => {
  execute(order).then(reply => process.send?.(reply))
})
process.on('disconnect', () => process.exit(0))
