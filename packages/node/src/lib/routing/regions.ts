/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** Reads the regions of availability zones from the settings. */
import type { EntryLocation } from '@drumdrift/core'
import type { Settings } from '../settings/settings.js'

/**
 * Returns the availability zone of a process, and the mapping from zones to regions. A zone that is not listed forms its own region for the
 * distance to it, but its region is not known to rules that name regions.
 *
 * @example
 * const chooser = new EndpointChooser(placeOf(settings))
 */
export function placeOf (settings: Settings): EntryLocation {
  const regions = new Map(settings.list('platform', 'regions').map(pair => {
    const [zone = '', region = zone] = pair.split(':')
    return [zone, region] as const
  }))
  return { availabilityZone: settings.text('process', 'availability-zone'), regionOf: zone => regions.get(zone) ?? zone, knownRegionOf: zone => regions.get(zone) }
}
