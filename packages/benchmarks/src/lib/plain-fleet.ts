/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Fleets without model weights, for measuring the cost of control traffic. */
import { Fleet } from './fleet.js'

/** A configuration with one plain service. */
export const plainConfiguration = { services: { booking: { slots: 8, neverRepeat: [] } } }

/**
 * Prepares a fleet of one entry in each availability zone and agents of a plain service, and publishes its configuration and instances.
 *
 * @param size The total number of processes.
 * @example
 * const fleet = await preparePlainFleet(96, ['bagmati', 'gandaki', 'koshi'])
 */
export async function preparePlainFleet (size: number, availabilityZones: readonly string[]): Promise<Fleet> {
  const fleet = await Fleet.prepare({
    availabilityZones,
    entriesPerZone: 1,
    endpoints: Array.from({ length: size - availabilityZones.length }, (_, index) => ({ name: 'booking', kind: 'plain', availabilityZone: availabilityZones[index % availabilityZones.length] ?? '' })),
    linkMegabytesPerSecond: 100,
    originMegabytesPerSecond: 100,
    settings: [['process', 'log-level', 'warn']]
  })
  fleet.publish(plainConfiguration)
  fleet.publishInstances()
  return fleet
}
