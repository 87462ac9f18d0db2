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
  readonly defaultValue?: string
  readonly minimum?: number
  readonly maximum?: number
  readonly choices?: readonly string[]
  /** The daemons that read the key. */
  readonly roles: readonly Role[]
  readonly meaning: string
  /** Whether the value is a secret, which is never printed. */
  readonly secret?: boolean
}

const allRoles: readonly Role[] = ['entry', 'agent', 'route-entry', 'weights-agent']
const ownRoles: readonly Role[] = ['entry', 'agent']
const adapterRoles: readonly Role[] = ['route-entry', 'weights-agent']
const agentOnly: readonly Role[] = ['agent']
const agentRoles: readonly Role[] = ['agent', 'weights-agent']
const entryOnly: readonly Role[] = ['entry']
const entryRoles: readonly Role[] = ['entry', 'route-entry']
const routeEntryOnly: readonly Role[] = ['route-entry']
const weightsAgentOnly: readonly Role[] = ['weights-agent']

/** The specifications of all keys, in the order of the page. */
export const settingSpecifications: readonly SettingSpecification[] = [
  { section: 'process', key: 'instance', type: 'name', roles: allRoles, meaning: 'Name of this instance, as in the platform\'s instance list.' },
  { section: 'process', key: 'availability-zone', type: 'name', roles: allRoles, meaning: 'Availability zone of this instance; must be one of [platform] availability-zones.' },
  { section: 'process', key: 'address', type: 'address', roles: allRoles, meaning: 'Address at which other processes of the system reach this one (TCP).' },
  { section: 'process', key: 'http-address', type: 'address', roles: entryRoles, meaning: 'Address at which callers and operators reach this entry (HTTP).' },
  { section: 'process', key: 'readiness-address', type: 'address', roles: routeEntryOnly, meaning: 'Address at which the load balancer checks whether this entry accepts callers (HTTP).' },
  { section: 'process', key: 'metrics-address', type: 'address', defaultValue: '', roles: ['agent', 'route-entry', 'weights-agent'], meaning: 'Address at which metrics are served over HTTP; if empty, they are not served.' },
  { section: 'process', key: 'memory-megabytes', type: 'number', unit: 'MB', defaultValue: '', minimum: 1, maximum: 1_000_000, roles: routeEntryOnly, meaning: 'Memory of this instance, of which a fifth may hold what callers have not read or not sent completely; if empty, there is no bound.' },
  { section: 'process', key: 'log-level', type: 'choice', choices: ['debug', 'info', 'warn', 'error'], defaultValue: 'info', roles: allRoles, meaning: 'Minimum severity of the log lines that are written.' },
  { section: 'process', key: 'stop-patience-seconds', type: 'number', unit: 'seconds', defaultValue: '120', minimum: 0, maximum: 3600, roles: allRoles, meaning: 'After SIGTERM, how long requests in progress may continue before they are aborted and logged. A route entry accepts connections for 2.5 s of it, and for half of it at most.' },
  { section: 'platform', key: 'availability-zones', type: 'text', roles: allRoles, meaning: 'All availability zones, separated by commas.' },
  { section: 'platform', key: 'source', type: 'name', roles: ownRoles, meaning: 'Identity of the configuration service; documents from any other source are refused.' },
  { section: 'platform', key: 'configuration', type: 'address', roles: ownRoles, meaning: 'Address of the configuration service.' },
  { section: 'platform', key: 'instances', type: 'address', roles: ownRoles, meaning: 'Address of the service with the instance list.' },
  { section: 'platform', key: 'store', type: 'address', roles: agentOnly, meaning: 'Address of the weight store.' },
  { section: 'platform', key: 'origin', type: 'address', roles: agentOnly, meaning: 'Address of the origin of weights.' },
  { section: 'platform', key: 'regions', type: 'text', defaultValue: '', roles: adapterRoles, meaning: 'The region of each availability zone, as zone:region separated by commas. A zone that is not listed forms its own region for distances, and is in no region that `allowedRegions` names.' },
  { section: 'platform', key: 'store-address', type: 'address', roles: adapterRoles, meaning: 'Address of the platform\'s store of published state.' },
  { section: 'platform', key: 'watch-seconds', type: 'number', unit: 'seconds', defaultValue: '3', minimum: 0.1, maximum: 30, roles: routeEntryOnly, meaning: 'How long the store may hold a watch open. A store that stops responding is detected after this time plus half a second. Each watch is one call.' },
  { section: 'platform', key: 'apply-bound-milliseconds', type: 'number', unit: 'ms', defaultValue: '2000', minimum: 100, maximum: 60_000, roles: routeEntryOnly, meaning: 'Time within which an accepted configuration, or the departure of an endpoint, must take effect. Changes are requested in batches, at most a quarter of this time apart.' },
  { section: 'platform', key: 'version-bound-milliseconds', type: 'number', unit: 'ms', defaultValue: '8000', minimum: 100, maximum: 3_600_000, roles: adapterRoles, meaning: 'Time after a version is named beyond which no request may start on an older version.' },
  { section: 'peers', key: 'seeds', type: 'addresses', defaultValue: '', roles: allRoles, meaning: 'Peers to query for the settings if the platform is down at startup. A route-entry that is one of its own seeds is a relay: it forwards what it reads from the store. List one in each region.' },
  { section: 'peers', key: 'key', type: 'text', roles: allRoles, secret: true, meaning: 'Secret shared by all processes of the system.' },
  { section: 'peers', key: 'agent-port', type: 'number', unit: 'port', minimum: 1, maximum: 65_535, roles: adapterRoles, meaning: 'Port on which the agent beside each engine listens; the same on all instances.' },
  { section: 'endpoint', key: 'name', type: 'name', roles: agentRoles, meaning: 'Pool or service to which the endpoint beside this agent belongs.' },
  { section: 'endpoint', key: 'kind', type: 'choice', choices: ['model', 'plain'], roles: agentOnly, meaning: 'Kind of the endpoint: a model engine, or a plain service without weights.' },
  { section: 'endpoint', key: 'address', type: 'address', roles: agentRoles, meaning: 'Address of the endpoint beside this agent (HTTP).' },
  { section: 'weights', key: 'link-megabytes-per-second', type: 'number', unit: 'MiB/s', defaultValue: '1000', minimum: 0.01, maximum: 100_000, roles: agentOnly, meaning: 'Bandwidth of this instance\'s link in each direction. Transfers stay below it and yield to live answers.' },
  { section: 'weights', key: 'link-megabits-per-second', type: 'number', unit: 'Mbit/s', defaultValue: '8000', minimum: 0.1, maximum: 800_000, roles: weightsAgentOnly, meaning: 'Bandwidth of this instance\'s link in each direction, shared with the answers of the engine.' },
  { section: 'weights', key: 'link-percent', type: 'number', unit: 'percent', defaultValue: '80', minimum: 1, maximum: 100, roles: weightsAgentOnly, meaning: 'Share of the link that transfers may use; the rest is reserved for answers.' },
  { section: 'weights', key: 'memory-megabytes', type: 'number', unit: 'MiB', defaultValue: '16', minimum: 1, maximum: 4096, roles: agentRoles, meaning: 'Memory for chunks that this process holds for peers; older chunks are read back from the engine.' },
  { section: 'weights', key: 'window', type: 'number', unit: 'chunks', defaultValue: '32', minimum: 1, maximum: 256, roles: agentRoles, meaning: 'Maximum number of chunks in flight.' },
  { section: 'weights', key: 'largest-gigabytes', type: 'number', unit: 'GiB', defaultValue: '2048', minimum: 0.001, maximum: 65_536, roles: agentRoles, meaning: 'Maximum size of a version that is accepted.' },
  { section: 'weights', key: 'strategy', type: 'choice', choices: ['rotation', 'rendezvous', 'tree', 'origin'], defaultValue: 'rotation', roles: agentOnly, meaning: 'How chunks are distributed; all strategies but rotation are for comparison.' },
  { section: 'requests', key: 'largest-body-kilobytes', type: 'number', unit: 'KiB', defaultValue: '1024', minimum: 1, maximum: 32_768, roles: entryOnly, meaning: 'Maximum size of a request body.' },
  { section: 'requests', key: 'deadline-seconds', type: 'number', unit: 'seconds', defaultValue: '120', minimum: 0.1, maximum: 3600, roles: entryOnly, meaning: 'Deadline of requests that specify none, and the longest deadline that a request may specify.' },
  { section: 'requests', key: 'queue-seconds', type: 'number', unit: 'seconds', defaultValue: '2', minimum: 0, maximum: 60, roles: entryOnly, meaning: 'Maximum time in the queue; a request that would wait longer is refused immediately.' },
  { section: 'requests', key: 'queue-length', type: 'number', unit: 'requests', defaultValue: '512', minimum: 1, maximum: 100_000, roles: entryOnly, meaning: 'Maximum number of requests that wait in one entry for one pool or service.' },
  { section: 'requests', key: 'first-answer-seconds', type: 'number', unit: 'seconds', defaultValue: '5', minimum: 0.05, maximum: 600, roles: entryOnly, meaning: 'A request without any sign of an answer for this time is retried on another endpoint if it is repeatable and one can take it. It fails if its agent does not answer either.' },
  { section: 'requests', key: 'silence-seconds', type: 'number', unit: 'seconds', defaultValue: '10', minimum: 0.05, maximum: 600, roles: entryOnly, meaning: 'An answer that has started and then makes no progress for this time is resumed at another endpoint if one can take it. It is considered broken if its agent does not answer either.' },
  { section: 'requests', key: 'choice', type: 'choice', choices: ['affinity', 'two-choices', 'least-reported', 'round-robin', 'random'], defaultValue: 'affinity', roles: entryOnly, meaning: 'How endpoints are chosen; all choices but affinity are for comparison.' },
  { section: 'requests', key: 'queueing', type: 'choice', choices: ['fair', 'first-in-first-out'], defaultValue: 'fair', roles: entryOnly, meaning: 'How waiting requests are ordered; first-in-first-out is for comparison.' },
  { section: 'requests', key: 'retry-percent', type: 'number', unit: 'percent of first attempts', defaultValue: '10', minimum: 0, maximum: 1000, roles: entryOnly, meaning: 'Additional load that retries may cause.' },
  { section: 'requests', key: 'retry-ratio', type: 'number', unit: 'share of requests', minimum: 0, maximum: 10, roles: routeEntryOnly, meaning: 'Additional load that further attempts of all entries together may cause on a service.' },
  { section: 'requests', key: 'retry-slack', type: 'number', unit: 'attempts', minimum: 0, maximum: 1_000_000, roles: routeEntryOnly, meaning: 'Further attempts that all entries together may make beyond that share within one window. The entries divide them by the number of entries that agents report as followers.' },
  { section: 'requests', key: 'retry-window-seconds', type: 'number', unit: 'seconds', minimum: 0.1, maximum: 3600, roles: routeEntryOnly, meaning: 'Length of the window to which the limit on further attempts applies.' },
  { section: 'requests', key: 'cold-rate-factor', type: 'number', unit: 'times the rate', defaultValue: '', minimum: 1, maximum: 100, roles: routeEntryOnly, meaning: 'By which factor the requests of all entries to a cold endpoint in one second may exceed the rate that its service names. If this or the slack is empty, cold endpoints are not limited.' },
  { section: 'requests', key: 'cold-rate-slack', type: 'number', unit: 'requests', defaultValue: '', minimum: 0, maximum: 1_000_000, roles: routeEntryOnly, meaning: 'Requests beyond that, in one second, of all entries together.' },
  { section: 'requests', key: 'repeat-window-seconds', type: 'number', unit: 'seconds', defaultValue: '600', minimum: 1, maximum: 86_400, roles: agentOnly, meaning: 'How long the ids of non-repeatable requests are remembered. A caller must not repeat an id after that.' },
  { section: 'requests', key: 'records-per-organisation', type: 'number', unit: 'records', defaultValue: '4096', minimum: 16, maximum: 1_000_000, roles: agentOnly, meaning: 'Maximum number of such ids that one agent remembers for one organisation; beyond it, new ones are refused.' },
  { section: 'callers', key: 'connections', type: 'number', unit: 'connections', defaultValue: '3500', minimum: 8, maximum: 1_000_000, roles: entryRoles, meaning: 'Maximum number of open connections of callers, and at most what the file descriptors of the process allow: all but a half, or but 600 of them. Beyond it, the connection that is at rest for the longest time is closed.' },
  { section: 'callers', key: 'pipelined-requests', type: 'number', unit: 'requests', defaultValue: '16', minimum: 0, maximum: 10_000, roles: entryRoles, meaning: 'Maximum number of requests that wait on one connection for the answers to those before them. Beyond it, the connection is closed.' },
  { section: 'callers', key: 'costly-bodies', type: 'number', unit: 'bodies', defaultValue: '2', minimum: 1, maximum: 10_000, roles: entryRoles, meaning: 'How many request bodies in chunks of less than 256 bytes are read at a time; the others wait for their turn.' },
  { section: 'callers', key: 'overhead-factor', type: 'number', unit: 'bytes per byte', defaultValue: '16', minimum: 1, maximum: 1_000_000, roles: entryRoles, meaning: 'Maximum number of bytes that a request may take for one byte of its body, beyond 256 KiB. A body in chunks of one byte takes 6.' },
  { section: 'callers', key: 'rest-pieces', type: 'number', unit: 'pieces', defaultValue: '8192', minimum: 0, maximum: 1_000_000_000, roles: entryRoles, meaning: 'How many pieces of a body are read after its request was answered, so that the answer is not lost; then its connection is closed, at the latest after a second.' },
  { section: 'operators', key: 'keys', type: 'text', defaultValue: '', roles: entryOnly, secret: true, meaning: 'Operators and their keys, as name:key separated by commas. If empty, all operators are refused.' }
]
