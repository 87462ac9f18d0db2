/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The operators' configuration of requests that are routed directly to endpoints: routes, services, organisations and limits.
 * All times are in milliseconds.
 */

/** Whether a request may be retried once it may have run: `safe` ones may, `unsafe` ones may not, `streaming` ones only if resumable. */
export type RouteKind = 'safe' | 'unsafe' | 'streaming'

/** One of the services that a route distributes its requests to. */
export interface RouteTarget {
  readonly service: string
  /** Its share of the route's requests, relative to the other targets. */
  readonly weight: number
}

/** The rules for requests of one host and path prefix. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Starts and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RouteKind
  /** Longest time that a request may take until its final response. */
  readonly timeout: number
  /** Target time to the response, or to the first event of a stream. */
  readonly objective: number
  /** Target for the longest pause between two events of a stream; 0 if none is set. */
  readonly gapObjective: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** Number of endpoints that one request may be sent to. */
  readonly maxAttempts: number
  /** Whether callers need no key. */
  readonly open: boolean
  /** Whether an interrupted stream may be resumed at another endpoint. */
  readonly resumable: boolean
  readonly targets: readonly RouteTarget[]
  /** The regions in which its requests may run; absent or empty for all. Peers of an earlier release send none. */
  readonly allowedRegions?: readonly string[] | undefined
}

/** A model that a pool's engines can load. */
export interface PoolModel {
  readonly name: string
  /** Time from the end of the old version's last request to the first token of the new version. */
  readonly warmUp: number
}

/** Performance characteristics of a pool's engines, as published by their operator. */
export interface PoolDescription {
  /** Requests that one engine runs concurrently. */
  readonly slots: number
  /** Decoding steps that an engine runs before it admits new prompts. */
  readonly stride: number
  /** Base duration of a decoding step, in milliseconds. */
  readonly stepTime: number
  /** Added duration of a step per running request. */
  readonly stepTimePerRequest: number
  /** Added duration of a step per 1,000 tokens of context. */
  readonly stepTimePerThousandTokens: number
  /** Prompt tokens processed per millisecond (prefill). */
  readonly promptTokensPerMillisecond: number
  /** Most prompt tokens processed per decoding step; a prefill pass that runs beside decoding requests has `stride` steps. */
  readonly promptTokensPerStep: number
  /** Mean tokens of a prompt. */
  readonly usualPromptTokens: number
  /** Mean tokens of a response. */
  readonly usualAnswerTokens: number
  readonly models: readonly PoolModel[]
  /** Layers of the model, which are loaded from chunks. */
  readonly layers: number
  readonly chunks: number
  readonly chunkBytes: number
}

/** What the endpoints of a service withstand while they are cold. */
export interface ColdDescription {
  /** How long an endpoint is cold after a start during traffic, in milliseconds, unless it says otherwise. */
  readonly duration: number
  /** Requests per second that a cold endpoint withstands from all entries together. */
  readonly requestsPerSecond: number
}

/** A service that routes send requests to. */
export interface ServiceDescription {
  readonly name: string
  /** Connections that one endpoint accepts from all callers together. */
  readonly maxConnections: number
  /** Present for model pools. */
  readonly pool?: PoolDescription | undefined
  /** Present if endpoints are limited while they are cold. */
  readonly cold?: ColdDescription | undefined
}

/** The origin of model weights. */
export interface OriginDescription {
  readonly address: string
  readonly availabilityZone: string
  readonly megabitsPerSecond: number
  readonly maxConnections: number
}

/** An organisation and the keys of its callers. */
export interface OrganisationDescription {
  readonly name: string
  readonly keys: readonly string[]
  /** Overrides the priority of the route. */
  readonly priority?: number | undefined
  /** The regions in which its requests may run, in addition to the restriction of the route; absent or empty for all. */
  readonly allowedRegions?: readonly string[] | undefined
}

/** Limits on callers' connections and requests. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerTimeout: number
  /** How long a connection may be idle between requests. */
  readonly idleTimeout: number
}

/**
 * Increases when a release decodes further fields that restrict requests. A relay of an earlier release passes a configuration on
 * without them, so the same configuration replaces it when it arrives in a later format.
 */
export const CONFIGURATION_FORMAT = 1

/** The whole configuration of the operators, which is accepted or rejected as a unit. */
export interface RoutingConfiguration {
  /** Version number assigned by the operators; it only increases. */
  readonly version: number
  /** See {@link CONFIGURATION_FORMAT}; absent if a process of an earlier release decoded it. */
  readonly format?: number | undefined
  readonly routes: readonly Route[]
  readonly services: readonly ServiceDescription[]
  readonly origin?: OriginDescription | undefined
  readonly organisations: readonly OrganisationDescription[]
  readonly limits: CallerLimits
}

/** The result of matching a request. */
export type RouteMatch =
  | { readonly type: 'route', readonly route: Route, readonly organisation: OrganisationDescription | undefined }
  | { readonly type: 'unknown-route' }
  | { readonly type: 'unknown-key' }

/** A configuration indexed for look-ups. */
export class RouteTable {
  private readonly _byHost = new Map<string, Route[]>()
  private readonly _byKey = new Map<string, OrganisationDescription>()
  private readonly _services = new Map<string, ServiceDescription>()

  constructor (readonly configuration: RoutingConfiguration) {
    for (const route of configuration.routes) {
      const routes = this._byHost.get(route.host) ?? []
      routes.push(route)
      this._byHost.set(route.host, routes)
    }
    for (const routes of this._byHost.values()) routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)
    for (const organisation of configuration.organisations) for (const key of organisation.keys) this._byKey.set(key, organisation)
    for (const service of configuration.services) this._services.set(service.name, service)
  }

  /** Returns the description of a service. */
  service (name: string): ServiceDescription | undefined { return this._services.get(name) }

  /**
   * Finds the route with the longest matching path prefix, and the organisation that owns the key. If no organisations are
   * configured, no key is required.
   *
   * @param path Without the query.
   * @param key The caller's key, if any.
   * @example
   * const match = table.match('plans.example', '/drafts/7', key)
   */
  match (host: string, path: string, key: string | undefined): RouteMatch {
    const route = this._byHost.get(host)?.find(candidate => path.startsWith(candidate.pathPrefix))
    if (route === undefined) return { type: 'unknown-route' }
    const organisation = key === undefined ? undefined : this._byKey.get(key)
    const keyNeeded = !route.open && this.configuration.organisations.length > 0
    if (organisation === undefined && keyNeeded) return { type: 'unknown-key' }
    return { type: 'route', route, organisation }
  }
}

/** The urgency of a request, 0 for the most urgent: the priority of its organisation if it has one, otherwise its route's. */
export function urgencyOf ({ priority }: Pick<Route, 'priority'>, organisation: Pick<OrganisationDescription, 'priority'> | undefined): number {
  return organisation?.priority ?? priority
}

/**
 * The urgencies that requests to a service may have.
 *
 * @example
 * const differ = new Set(urgenciesOf('drafting', configuration)).size > 1
 */
export function urgenciesOf (service: string, configuration: Pick<RoutingConfiguration, 'routes' | 'organisations'> | undefined): number[] {
  const routes = configuration?.routes.filter(({ targets }) => targets.some(target => target.service === service)) ?? []
  const organisations = routes.length === 0 ? [] : configuration?.organisations.flatMap(({ priority }) => priority ?? []) ?? []
  return [...routes.map(({ priority }) => priority), ...organisations]
}

/**
 * Picks a service of a route at random, in proportion to the weights of its targets.
 *
 * @param draw A number in [0, 1).
 * @example
 * const service = pickService(route, random())
 */
export function pickService (route: Route, draw: number): string {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0)
  let remaining = draw * total
  for (const { service, weight } of route.targets) {
    remaining -= weight
    if (remaining < 0) return service
  }
  return route.targets.at(-1)?.service ?? ''
}

/**
 * Returns the regions in which a request may run: those that its route and its organisation both allow. Returns `undefined` if neither
 * restricts it.
 *
 * @example
 * const allowedRegions = allowedRegionsOf(route, organisation)
 */
export function allowedRegionsOf ({ allowedRegions: ofRoute = [] }: Route, organisation: OrganisationDescription | undefined): ReadonlySet<string> | undefined {
  const ofOrganisation = organisation?.allowedRegions ?? []
  if (ofRoute.length === 0) return ofOrganisation.length === 0 ? undefined : new Set(ofOrganisation)
  return new Set(ofOrganisation.length === 0 ? ofRoute : ofRoute.filter(region => ofOrganisation.includes(region)))
}
