/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The one table of settings. Checking, `drumdrift settings` and docs/SETTINGS.md all come from here.
 */

/**
 * The daemons. `entry` and `agent` speak the product's own interface; `route-entry` and `weights-agent` are started by
 * an adapter for a platform whose callers and endpoints speak another one.
 */
export type Role = 'entry' | 'agent' | 'route-entry' | 'weights-agent'

/** Kinds of values. Sizes and times are numbers whose unit the key's name carries. */
export type SettingType = 'name' | 'text' | 'address' | 'addresses' | 'number' | 'choice'

/** One key of the settings file. */
export interface SettingSpecification {
  readonly section: string
  readonly key: string
  readonly type: SettingType
  readonly unit?: string
  /** Absent for a key that must be given. */
  readonly fallback?: string
  readonly least?: number
  readonly most?: number
  readonly choices?: readonly string[]
  /** The daemons that read it. */
  readonly roles: readonly Role[]
  readonly meaning: string
  /** Never printed. */
  readonly secret?: boolean
}

const all: readonly Role[] = ['entry', 'agent', 'route-entry', 'weights-agent']
const both: readonly Role[] = ['entry', 'agent']
const adapted: readonly Role[] = ['route-entry', 'weights-agent']
const agent: readonly Role[] = ['agent']
const agents: readonly Role[] = ['agent', 'weights-agent']
const entry: readonly Role[] = ['entry']
const entries: readonly Role[] = ['entry', 'route-entry']
const routeEntry: readonly Role[] = ['route-entry']
const weightsAgent: readonly Role[] = ['weights-agent']

/** Every key, in the order of the page. */
export const settingSpecifications: readonly SettingSpecification[] = [
  { section: 'process', key: 'instance', type: 'name', roles: all, meaning: 'Name of this instance, as in the platform\'s instance list.' },
  { section: 'process', key: 'availability-zone', type: 'name', roles: all, meaning: 'Availability zone of this instance; must be one of [platform] availability-zones.' },
  { section: 'process', key: 'address', type: 'address', roles: all, meaning: 'Where other processes of the system reach this one (TCP).' },
  { section: 'process', key: 'http-address', type: 'address', roles: entries, meaning: 'Where callers and operators reach this entry (HTTP).' },
  { section: 'process', key: 'readiness-address', type: 'address', roles: routeEntry, meaning: 'Where the balancer asks whether this entry takes callers (HTTP).' },
  { section: 'process', key: 'metrics-address', type: 'address', fallback: '', roles: ['agent', 'route-entry', 'weights-agent'], meaning: 'Where metrics are served over HTTP; empty for nowhere.' },
  { section: 'process', key: 'log-level', type: 'choice', choices: ['debug', 'info', 'warn', 'error'], fallback: 'info', roles: all, meaning: 'Least severe log line that is written.' },
  { section: 'process', key: 'stop-patience-seconds', type: 'number', unit: 'seconds', fallback: '120', least: 0, most: 3600, roles: all, meaning: 'On SIGTERM, how long requests in progress may go on; then they are cut off and logged.' },
  { section: 'platform', key: 'availability-zones', type: 'text', roles: all, meaning: 'All availability zones, separated by commas.' },
  { section: 'platform', key: 'source', type: 'name', roles: both, meaning: 'Identity of the configuration service; documents of another one are refused.' },
  { section: 'platform', key: 'configuration', type: 'address', roles: both, meaning: 'Configuration service.' },
  { section: 'platform', key: 'instances', type: 'address', roles: both, meaning: 'Instance list.' },
  { section: 'platform', key: 'store', type: 'address', roles: agent, meaning: 'Weight store.' },
  { section: 'platform', key: 'origin', type: 'address', roles: agent, meaning: 'Origin of weights.' },
  { section: 'platform', key: 'regions', type: 'text', fallback: '', roles: adapted, meaning: 'The region of each availability zone, as zone:region separated by commas. A zone that is not named is a region of its own.' },
  { section: 'platform', key: 'store-address', type: 'address', roles: adapted, meaning: 'The platform\'s store of published state.' },
  { section: 'platform', key: 'watch-seconds', type: 'number', unit: 'seconds', fallback: '3', least: 0.1, most: 30, roles: routeEntry, meaning: 'How long the store may hold a watch. A store that went silent is noticed after this and half a second; each watch is a call.' },
  { section: 'platform', key: 'apply-bound-milliseconds', type: 'number', unit: 'ms', fallback: '2000', least: 100, most: 60_000, roles: routeEntry, meaning: 'In this time an accepted configuration, and an endpoint that leaves, must be heeded. Changes are asked for together, a quarter of it apart at the most.' },
  { section: 'platform', key: 'version-bound-milliseconds', type: 'number', unit: 'ms', fallback: '8000', least: 100, most: 3_600_000, roles: adapted, meaning: 'So long after a version is named no request may begin on an older one.' },
  { section: 'peers', key: 'seeds', type: 'addresses', fallback: '', roles: all, meaning: 'Peers to ask for the settings when the platform is down at the start. A route-entry that is one of its own seeds is a relay: it passes on what it reads from the store; name one in each region.' },
  { section: 'peers', key: 'key', type: 'text', roles: all, secret: true, meaning: 'Secret shared by all processes of the system.' },
  { section: 'peers', key: 'agent-port', type: 'number', unit: 'port', least: 1, most: 65_535, roles: adapted, meaning: 'Port at which the agent beside each engine listens; the same on all instances.' },
  { section: 'endpoint', key: 'name', type: 'name', roles: agents, meaning: 'Pool or service that the endpoint beside this agent belongs to.' },
  { section: 'endpoint', key: 'kind', type: 'choice', choices: ['model', 'plain'], roles: agent, meaning: 'A model engine, or a plain service without weights.' },
  { section: 'endpoint', key: 'address', type: 'address', roles: agents, meaning: 'The endpoint beside this agent (HTTP).' },
  { section: 'weights', key: 'link-megabytes-per-second', type: 'number', unit: 'MiB/s', fallback: '1000', least: 0.01, most: 100_000, roles: agent, meaning: 'This instance\'s link, each way. Transfers keep below it and yield to live answers.' },
  { section: 'weights', key: 'link-megabits-per-second', type: 'number', unit: 'Mbit/s', fallback: '8000', least: 0.1, most: 800_000, roles: weightsAgent, meaning: 'This instance\'s link, each way, which answers of the engine share.' },
  { section: 'weights', key: 'link-percent', type: 'number', unit: 'percent', fallback: '80', least: 1, most: 100, roles: weightsAgent, meaning: 'The share of the link that transfers may fill; the rest is left to answers.' },
  { section: 'weights', key: 'memory-megabytes', type: 'number', unit: 'MiB', fallback: '16', least: 1, most: 4096, roles: agents, meaning: 'Chunks held in this process for peers; older ones are read back from the engine.' },
  { section: 'weights', key: 'window', type: 'number', unit: 'chunks', fallback: '32', least: 1, most: 256, roles: agents, meaning: 'Chunks in flight at once.' },
  { section: 'weights', key: 'largest-gigabytes', type: 'number', unit: 'GiB', fallback: '2048', least: 0.001, most: 65_536, roles: agents, meaning: 'The largest version that is accepted.' },
  { section: 'weights', key: 'strategy', type: 'choice', choices: ['rotation', 'rendezvous', 'tree', 'origin'], fallback: 'rotation', roles: agent, meaning: 'How chunks are spread; all but rotation are for comparison.' },
  { section: 'requests', key: 'largest-body-kilobytes', type: 'number', unit: 'KiB', fallback: '1024', least: 1, most: 32_768, roles: entry, meaning: 'The largest body of a request.' },
  { section: 'requests', key: 'deadline-seconds', type: 'number', unit: 'seconds', fallback: '120', least: 0.1, most: 3600, roles: entry, meaning: 'Deadline of requests that name none, and the longest that one may name.' },
  { section: 'requests', key: 'queue-seconds', type: 'number', unit: 'seconds', fallback: '2', least: 0, most: 60, roles: entry, meaning: 'A request that would wait longer for its start is refused at once.' },
  { section: 'requests', key: 'queue-length', type: 'number', unit: 'requests', fallback: '512', least: 1, most: 100_000, roles: entry, meaning: 'Requests that may wait in one entry for one pool or service.' },
  { section: 'requests', key: 'first-answer-seconds', type: 'number', unit: 'seconds', fallback: '5', least: 0.05, most: 600, roles: entry, meaning: 'An endpoint that shows no sign of an answer for so long is taken as failed; requests that may repeat go elsewhere.' },
  { section: 'requests', key: 'silence-seconds', type: 'number', unit: 'seconds', fallback: '10', least: 0.05, most: 600, roles: entry, meaning: 'An answer that has begun and then shows nothing for so long is taken as broken.' },
  { section: 'requests', key: 'choice', type: 'choice', choices: ['affinity', 'two-choices', 'least-reported', 'round-robin', 'random'], fallback: 'affinity', roles: entry, meaning: 'How endpoints are chosen; all but affinity are for comparison.' },
  { section: 'requests', key: 'queueing', type: 'choice', choices: ['fair', 'first-in-first-out'], fallback: 'fair', roles: entry, meaning: 'How waiting requests are ordered; first-in-first-out is for comparison.' },
  { section: 'requests', key: 'retry-percent', type: 'number', unit: 'percent of first attempts', fallback: '10', least: 0, most: 1000, roles: entry, meaning: 'The load that retries may add.' },
  { section: 'requests', key: 'retry-ratio', type: 'number', unit: 'share of requests', least: 0, most: 10, roles: routeEntry, meaning: 'The load that further attempts of all entries together may add to a service.' },
  { section: 'requests', key: 'retry-slack', type: 'number', unit: 'attempts', least: 0, most: 1_000_000, roles: routeEntry, meaning: 'Further attempts that all entries together may make beyond that share in one window. They share it out by the number of entries that agents hear.' },
  { section: 'requests', key: 'retry-window-seconds', type: 'number', unit: 'seconds', least: 0.1, most: 3600, roles: routeEntry, meaning: 'The stretch of time for which the bound on further attempts holds.' },
  { section: 'requests', key: 'repeat-window-seconds', type: 'number', unit: 'seconds', fallback: '600', least: 1, most: 86_400, roles: agent, meaning: 'How long ids of requests that may not repeat are remembered. A caller must not repeat an id after that.' },
  { section: 'requests', key: 'records-per-organisation', type: 'number', unit: 'records', fallback: '4096', least: 16, most: 1_000_000, roles: agent, meaning: 'Such ids remembered for one organisation by one agent; beyond, new ones are refused.' },
  { section: 'operators', key: 'keys', type: 'text', fallback: '', roles: entry, secret: true, meaning: 'Operators and their keys, as name:key separated by commas. Empty refuses all operators.' }
]
