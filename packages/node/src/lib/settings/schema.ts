/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The schema of the settings: the single source for validation, `drumdrift settings` and docs/SETTINGS.md.
 */

/**
 * The kinds of daemons. `entry` and `agent` implement the product's own interface; `route-entry` and `weights-agent` are
 * started by an adapter for a platform whose callers and endpoints use a different interface.
 */
export type Role = 'entry' | 'agent' | 'route-entry' | 'weights-agent'

/** Types of values. Sizes and times are numbers; the name of the key gives their unit. */
export type SettingType = 'name' | 'text' | 'address' | 'addresses' | 'number' | 'choice'

/** Specification of one key of the settings file. */
export interface SettingSpecification {
  readonly section: string
  readonly key: string
  readonly type: SettingType
  readonly unit?: string
  /** The default value; `undefined` if the key is required. */
  readonly fallback?: string
  readonly least?: number
  readonly most?: number
  readonly choices?: readonly string[]
  /** The daemons that read the key. */
  readonly roles: readonly Role[]
  readonly meaning: string
  /** Whether the value is a secret, which is never printed. */
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

/** The specifications of all keys, in the order of the page. */
export const settingSpecifications: readonly SettingSpecification[] = [
  { section: 'process', key: 'instance', type: 'name', roles: all, meaning: 'Name of this instance, as in the platform\'s instance list.' },
  { section: 'process', key: 'availability-zone', type: 'name', roles: all, meaning: 'Availability zone of this instance; must be one of [platform] availability-zones.' },
  { section: 'process', key: 'address', type: 'address', roles: all, meaning: 'Address at which other processes of the system reach this one (TCP).' },
  { section: 'process', key: 'http-address', type: 'address', roles: entries, meaning: 'Address at which callers and operators reach this entry (HTTP).' },
  { section: 'process', key: 'readiness-address', type: 'address', roles: routeEntry, meaning: 'Address at which the load balancer checks whether this entry accepts callers (HTTP).' },
  { section: 'process', key: 'metrics-address', type: 'address', fallback: '', roles: ['agent', 'route-entry', 'weights-agent'], meaning: 'Address at which metrics are served over HTTP; if empty, they are not served.' },
  { section: 'process', key: 'log-level', type: 'choice', choices: ['debug', 'info', 'warn', 'error'], fallback: 'info', roles: all, meaning: 'Minimum severity of the log lines that are written.' },
  { section: 'process', key: 'stop-patience-seconds', type: 'number', unit: 'seconds', fallback: '120', least: 0, most: 3600, roles: all, meaning: 'After SIGTERM, how long requests in progress may continue before they are aborted and logged.' },
  { section: 'platform', key: 'availability-zones', type: 'text', roles: all, meaning: 'All availability zones, separated by commas.' },
  { section: 'platform', key: 'source', type: 'name', roles: both, meaning: 'Identity of the configuration service; documents from any other source are refused.' },
  { section: 'platform', key: 'configuration', type: 'address', roles: both, meaning: 'Address of the configuration service.' },
  { section: 'platform', key: 'instances', type: 'address', roles: both, meaning: 'Address of the service with the instance list.' },
  { section: 'platform', key: 'store', type: 'address', roles: agent, meaning: 'Address of the weight store.' },
  { section: 'platform', key: 'origin', type: 'address', roles: agent, meaning: 'Address of the origin of weights.' },
  { section: 'platform', key: 'regions', type: 'text', fallback: '', roles: adapted, meaning: 'The region of each availability zone, as zone:region separated by commas. A zone that is not listed forms its own region.' },
  { section: 'platform', key: 'store-address', type: 'address', roles: adapted, meaning: 'Address of the platform\'s store of published state.' },
  { section: 'platform', key: 'watch-seconds', type: 'number', unit: 'seconds', fallback: '3', least: 0.1, most: 30, roles: routeEntry, meaning: 'How long the store may hold a watch open. A store that stops responding is detected after this time plus half a second. Each watch is one call.' },
  { section: 'platform', key: 'apply-bound-milliseconds', type: 'number', unit: 'ms', fallback: '2000', least: 100, most: 60_000, roles: routeEntry, meaning: 'Time within which an accepted configuration, or the departure of an endpoint, must take effect. Changes are requested in batches, at most a quarter of this time apart.' },
  { section: 'platform', key: 'version-bound-milliseconds', type: 'number', unit: 'ms', fallback: '8000', least: 100, most: 3_600_000, roles: adapted, meaning: 'Time after a version is named beyond which no request may start on an older version.' },
  { section: 'peers', key: 'seeds', type: 'addresses', fallback: '', roles: all, meaning: 'Peers to query for the settings if the platform is down at startup. A route-entry that is one of its own seeds is a relay: it forwards what it reads from the store. List one in each region.' },
  { section: 'peers', key: 'key', type: 'text', roles: all, secret: true, meaning: 'Secret shared by all processes of the system.' },
  { section: 'peers', key: 'agent-port', type: 'number', unit: 'port', least: 1, most: 65_535, roles: adapted, meaning: 'Port on which the agent beside each engine listens; the same on all instances.' },
  { section: 'endpoint', key: 'name', type: 'name', roles: agents, meaning: 'Pool or service to which the endpoint beside this agent belongs.' },
  { section: 'endpoint', key: 'kind', type: 'choice', choices: ['model', 'plain'], roles: agent, meaning: 'Kind of the endpoint: a model engine, or a plain service without weights.' },
  { section: 'endpoint', key: 'address', type: 'address', roles: agents, meaning: 'Address of the endpoint beside this agent (HTTP).' },
  { section: 'weights', key: 'link-megabytes-per-second', type: 'number', unit: 'MiB/s', fallback: '1000', least: 0.01, most: 100_000, roles: agent, meaning: 'Bandwidth of this instance\'s link in each direction. Transfers stay below it and yield to live answers.' },
  { section: 'weights', key: 'link-megabits-per-second', type: 'number', unit: 'Mbit/s', fallback: '8000', least: 0.1, most: 800_000, roles: weightsAgent, meaning: 'Bandwidth of this instance\'s link in each direction, shared with the answers of the engine.' },
  { section: 'weights', key: 'link-percent', type: 'number', unit: 'percent', fallback: '80', least: 1, most: 100, roles: weightsAgent, meaning: 'Share of the link that transfers may use; the rest is reserved for answers.' },
  { section: 'weights', key: 'memory-megabytes', type: 'number', unit: 'MiB', fallback: '16', least: 1, most: 4096, roles: agents, meaning: 'Memory for chunks that this process holds for peers; older chunks are read back from the engine.' },
  { section: 'weights', key: 'window', type: 'number', unit: 'chunks', fallback: '32', least: 1, most: 256, roles: agents, meaning: 'Maximum number of chunks in flight.' },
  { section: 'weights', key: 'largest-gigabytes', type: 'number', unit: 'GiB', fallback: '2048', least: 0.001, most: 65_536, roles: agents, meaning: 'Maximum size of a version that is accepted.' },
  { section: 'weights', key: 'strategy', type: 'choice', choices: ['rotation', 'rendezvous', 'tree', 'origin'], fallback: 'rotation', roles: agent, meaning: 'How chunks are distributed; all strategies but rotation are for comparison.' },
  { section: 'requests', key: 'largest-body-kilobytes', type: 'number', unit: 'KiB', fallback: '1024', least: 1, most: 32_768, roles: entry, meaning: 'Maximum size of a request body.' },
  { section: 'requests', key: 'deadline-seconds', type: 'number', unit: 'seconds', fallback: '120', least: 0.1, most: 3600, roles: entry, meaning: 'Deadline of requests that specify none, and the longest deadline that a request may specify.' },
  { section: 'requests', key: 'queue-seconds', type: 'number', unit: 'seconds', fallback: '2', least: 0, most: 60, roles: entry, meaning: 'Maximum time in the queue; a request that would wait longer is refused immediately.' },
  { section: 'requests', key: 'queue-length', type: 'number', unit: 'requests', fallback: '512', least: 1, most: 100_000, roles: entry, meaning: 'Maximum number of requests that wait in one entry for one pool or service.' },
  { section: 'requests', key: 'first-answer-seconds', type: 'number', unit: 'seconds', fallback: '5', least: 0.05, most: 600, roles: entry, meaning: 'An endpoint without any sign of an answer for this time is considered failed; repeatable requests are retried on another endpoint.' },
  { section: 'requests', key: 'silence-seconds', type: 'number', unit: 'seconds', fallback: '10', least: 0.05, most: 600, roles: entry, meaning: 'An answer that has started and then makes no progress for this time is considered broken.' },
  { section: 'requests', key: 'choice', type: 'choice', choices: ['affinity', 'two-choices', 'least-reported', 'round-robin', 'random'], fallback: 'affinity', roles: entry, meaning: 'How endpoints are chosen; all choices but affinity are for comparison.' },
  { section: 'requests', key: 'queueing', type: 'choice', choices: ['fair', 'first-in-first-out'], fallback: 'fair', roles: entry, meaning: 'How waiting requests are ordered; first-in-first-out is for comparison.' },
  { section: 'requests', key: 'retry-percent', type: 'number', unit: 'percent of first attempts', fallback: '10', least: 0, most: 1000, roles: entry, meaning: 'Additional load that retries may cause.' },
  { section: 'requests', key: 'retry-ratio', type: 'number', unit: 'share of requests', least: 0, most: 10, roles: routeEntry, meaning: 'Additional load that further attempts of all entries together may cause on a service.' },
  { section: 'requests', key: 'retry-slack', type: 'number', unit: 'attempts', least: 0, most: 1_000_000, roles: routeEntry, meaning: 'Further attempts that all entries together may make beyond that share within one window. The entries divide them by the number of entries that agents report as followers.' },
  { section: 'requests', key: 'retry-window-seconds', type: 'number', unit: 'seconds', least: 0.1, most: 3600, roles: routeEntry, meaning: 'Length of the window to which the limit on further attempts applies.' },
  { section: 'requests', key: 'repeat-window-seconds', type: 'number', unit: 'seconds', fallback: '600', least: 1, most: 86_400, roles: agent, meaning: 'How long the ids of non-repeatable requests are remembered. A caller must not repeat an id after that.' },
  { section: 'requests', key: 'records-per-organisation', type: 'number', unit: 'records', fallback: '4096', least: 16, most: 1_000_000, roles: agent, meaning: 'Maximum number of such ids that one agent remembers for one organisation; beyond it, new ones are refused.' },
  { section: 'operators', key: 'keys', type: 'text', fallback: '', roles: entry, secret: true, meaning: 'Operators and their keys, as name:key separated by commas. If empty, all operators are refused.' }
]
