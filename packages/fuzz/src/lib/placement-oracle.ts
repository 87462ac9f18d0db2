/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Checks that no process chooses an endpoint that its configuration or an evacuation excludes. It reads the rules from the state that
 * the process holds, without the functions of the product that apply them.
 */
import type { EndpointRequirements, EntryLocation, OrganisationDescription, Route } from '@drumdrift/core'
import type { PublishedParts } from './published-parts.js'
import type { PublishedProcess } from './published-process.js'
import type { World } from './world.js'

/** Regions of the zones; the region of `gandaki` is not known. */
const regions: Readonly<Record<string, string>> = { koshi: 'east', bagmati: 'west' }
const service = { name: 'desk', maxConnections: 100 }
/** Attempts of one request. */
const ATTEMPTS = 3

type Chooser = ReturnType<PublishedParts['chooser']>

/** Returns the rules of the configuration of a version: none, of the route, of the organisation, or of both. */
export function rulesOfVersion (version: number): { readonly routes: Route[], readonly organisations: OrganisationDescription[] } {
  const ofRoute = version % 2 === 1 ? ['east', 'west', 'gandaki'] : []
  const ofOrganisation = version % 4 >= 2 ? ['west', 'gandaki'] : []
  return {
    routes: [{ name: 'desk', host: 'desk.example', pathPrefix: '/', kind: 'safe', timeout: 1_000, objective: 400, gapObjective: 0, priority: 0, maxAttempts: ATTEMPTS, open: false, resumable: false, targets: [{ service: service.name, weight: 1 }], allowedRegions: ofRoute }],
    organisations: [{ name: 'branch', keys: ['key'], allowedRegions: ofOrganisation }]
  }
}

/** Makes choices for every process, as its requests would. */
export class PlacementOracle {
  private readonly _choosers = new WeakMap<PublishedProcess, Chooser>()

  constructor (private readonly _world: World, private readonly _parts: PublishedParts) {}

  /** Chooses the endpoints of one request of a process, with its retries. */
  check (member: PublishedProcess): void {
    const { state, process } = member
    const [route] = state.configuration?.routes ?? []
    if (!process.alive || !state.complete || route === undefined) return
    const chooser = this._chooserOf(member)
    chooser.setRecords(state.endpoints(), undefined, state.evacuatedZones)
    const organisation = state.configuration?.organisations[0]
    const tried = new Set<string>()
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      const choice = chooser.choose(service, this._parts.requirements(route, organisation, tried), this._world.now)
      if (choice === undefined) return
      tried.add(choice.record.id)
      this._judge(member, choice.record.availabilityZone, [route.allowedRegions, organisation?.allowedRegions])
    }
  }

  private _judge ({ state, process }: PublishedProcess, zone: string, rules: readonly (readonly string[] | undefined)[]): void {
    if (state.evacuatedZones.has(zone)) this._world.recordViolation(`evacuated-zones: ${process.name} chooses an endpoint in ${zone}, which is evacuated`)
    const region = regions[zone]
    const forbids = (rule: readonly string[] = []): boolean => rule.length > 0 && (region === undefined || !rule.includes(region))
    if (rules.some(forbids)) this._world.recordViolation(`allowed-regions: ${process.name} chooses an endpoint in ${zone}, of the region ${region ?? 'unknown'}, which its configuration does not allow`)
  }

  private _chooserOf (member: PublishedProcess): Chooser {
    const place: EntryLocation = { availabilityZone: member.process.availabilityZone, regionOf: zone => regions[zone] ?? zone, knownRegionOf: zone => regions[zone] }
    const chooser = this._choosers.get(member) ?? this._parts.chooser(place, () => 0)
    this._choosers.set(member, chooser)
    return chooser
  }
}

/** Returns the requirements of a request of a plain service, regardless of regions. */
export function plainRequirements (tried: ReadonlySet<string>): EndpointRequirements {
  return { promptTokens: 0, answerTokens: 0, model: '', leastVersion: 0, mustBeginBy: () => undefined, usualObjective: 400, tried }
}
