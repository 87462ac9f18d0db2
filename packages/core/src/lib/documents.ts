/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Schemas and validation for the documents that the platform publishes and for the manifest of a version.
 * A document is accepted or rejected as a whole. This module performs no input or output.
 */
import * as valibot from 'valibot'
import type { DocumentFailure, WeightsFailure } from './failure.js'

const name = valibot.pipe(valibot.string(), valibot.regex(/^[a-z0-9][a-z0-9._-]{0,62}$/i))
const digest = valibot.pipe(valibot.string(), valibot.regex(/^[0-9a-f]{64}$/))
const positiveInteger = valibot.pipe(valibot.number(), valibot.integer(), valibot.minValue(1))
const fraction = valibot.pipe(valibot.number(), valibot.minValue(0.01), valibot.maxValue(1))

/** A record by name without a prototype: names may be those of properties that all objects have. */
function namedRecord<Schema extends valibot.GenericSchema> (schema: Schema): valibot.GenericSchema<unknown, Record<string, valibot.InferOutput<Schema>>> {
  const entries = valibot.record(name, schema) as valibot.GenericSchema<unknown, Record<string, valibot.InferOutput<Schema>>>
  return valibot.pipe(entries, valibot.transform(values => Object.assign(Object.create(null) as Record<string, valibot.InferOutput<Schema>>, values)))
}

const poolSchema = valibot.strictObject({
  model: name,
  version: name,
  /** The fraction of a pool's engines in one availability zone that may switch version concurrently. */
  switchFraction: valibot.optional(fraction, 0.25),
  /** The number of requests that one engine runs concurrently. */
  slots: valibot.optional(positiveInteger, 8),
  /** The number of copies of a version that may be read from the origin. */
  originCopies: valibot.optional(valibot.pipe(positiveInteger, valibot.maxValue(64)), 1),
  /** The time by which the version is to be in place, in milliseconds since the Unix epoch; used in forecasts. */
  neededBy: valibot.optional(positiveInteger)
})

const callPatternSchema = valibot.strictObject({
  method: valibot.picklist(['GET', 'POST', 'PUT', 'PATCH', 'DELETE']),
  pathPrefix: valibot.pipe(valibot.string(), valibot.startsWith('/'))
})

const serviceSchema = valibot.strictObject({
  slots: valibot.optional(positiveInteger, 16),
  /** Calls that run at most once per request id. */
  neverRepeat: valibot.optional(valibot.array(callPatternSchema), [])
})

const organisationSchema = valibot.strictObject({
  weight: valibot.optional(valibot.pipe(positiveInteger, valibot.maxValue(1000)), 1),
  /** The maximum number of concurrent requests of the organisation per entry; absent for no limit. */
  inProgress: valibot.optional(positiveInteger),
  /** Digests of the caller keys that authenticate as this organisation. */
  keyDigests: valibot.optional(valibot.array(digest), [])
})

const configurationSchema = valibot.strictObject({
  models: namedRecord(valibot.strictObject({ versions: namedRecord(digest) })),
  pools: namedRecord(poolSchema),
  services: namedRecord(serviceSchema),
  organisations: namedRecord(organisationSchema),
  /** Instances that accept no new requests. */
  draining: valibot.optional(valibot.array(name), [])
})

const ADDRESS = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/
const MAX_ADDRESS_PART = 255
const MAX_PORT = 65_535

function isInstanceAddress (text: string): boolean {
  const [port = Infinity, ...parts] = [...ADDRESS.exec(text) ?? []].slice(1).map(Number).reverse()
  return port <= MAX_PORT && parts.every(part => part <= MAX_ADDRESS_PART)
}

const instanceSchema = valibot.strictObject({
  instance: name,
  availabilityZone: name,
  role: valibot.picklist(['entry', 'agent']),
  address: valibot.pipe(valibot.string(), valibot.check(isInstanceAddress, 'not an IPv4 address and a port')),
  /** The pool or service to which the agent's endpoint belongs. */
  endpoint: valibot.optional(name),
  state: valibot.picklist(['live', 'leaving'])
})
const instanceListSchema = valibot.strictObject({ instances: valibot.array(instanceSchema) })

const manifestSchema = valibot.strictObject({
  model: name,
  version: name,
  bytes: positiveInteger,
  chunks: valibot.pipe(valibot.array(valibot.strictObject({ digest, bytes: positiveInteger })), valibot.minLength(1))
})

/** The configuration that operators publish: models, pools, services and organisations. */
export type Configuration = valibot.InferOutput<typeof configurationSchema>
/** The configuration of a pool of model workers. */
export type PoolConfiguration = valibot.InferOutput<typeof poolSchema>
/** An entry of the instance list. */
export type InstanceRecord = valibot.InferOutput<typeof instanceSchema>
/** The list of instances that the platform publishes. */
export type InstanceList = valibot.InferOutput<typeof instanceListSchema>
/** The chunks of one version of a model. Its digest is the version's identity. */
export type Manifest = valibot.InferOutput<typeof manifestSchema>

/** The result of validation: a value or a failure. */
export type Checked<Value, Problem> = { readonly value: Value } | { readonly failure: Problem }

function formatIssues (issues: readonly valibot.BaseIssue<unknown>[]): string {
  return issues.slice(0, 3).map(issue => `${valibot.getDotPath(issue) ?? 'document'}: ${issue.message}`).join('; ')
}

function invalid (detail: string): { failure: DocumentFailure } {
  return { failure: { type: 'document-failure', reason: 'invalid', detail } }
}

/**
 * Validates a configuration document, including its cross-references.
 *
 * @example
 * const checked = checkConfiguration(JSON.parse(text))
 * if ('failure' in checked) keepCurrent(checked.failure)
 */
export function checkConfiguration (input: unknown): Checked<Configuration, DocumentFailure> {
  const parsed = valibot.safeParse(configurationSchema, input)
  if (!parsed.success) return invalid(formatIssues(parsed.issues))
  const configuration = parsed.output
  for (const [pool, { model, version }] of Object.entries(configuration.pools)) {
    if (configuration.models[model]?.versions[version] === undefined) {
      return invalid(`pools.${pool}: model ${model} has no version ${version}`)
    }
    if (configuration.services[pool] !== undefined) return invalid(`pools.${pool}: a service has the same name`)
  }
  return { value: configuration }
}

/**
 * Validates an instance list. Duplicate instances are rejected.
 *
 * @example
 * checkInstanceList({ instances: [] })
 */
export function checkInstanceList (input: unknown): Checked<InstanceList, DocumentFailure> {
  const parsed = valibot.safeParse(instanceListSchema, input)
  if (!parsed.success) return invalid(formatIssues(parsed.issues))
  const seen = new Set<string>()
  for (const { instance } of parsed.output.instances) {
    if (seen.has(instance)) return invalid(`instances: ${instance} is listed more than once`)
    seen.add(instance)
  }
  return { value: parsed.output }
}

/**
 * Validates a manifest: the chunk sizes must add up to the total and not exceed `limitBytes`. The caller must verify the
 * digest of the manifest's bytes.
 *
 * @example
 * checkManifest(JSON.parse(bytes.toString()), 2 ** 40)
 */
export function checkManifest (input: unknown, limitBytes: number): Checked<Manifest, WeightsFailure> {
  const parsed = valibot.safeParse(manifestSchema, input)
  if (!parsed.success) return badManifest(formatIssues(parsed.issues))
  const total = parsed.output.chunks.reduce((sum, chunk) => sum + chunk.bytes, 0)
  if (total !== parsed.output.bytes) return badManifest(`chunks add up to ${total} bytes, not ${parsed.output.bytes}`)
  if (total > limitBytes) return { failure: { type: 'weights-failure', reason: 'too-large', detail: `${total} bytes` } }
  return { value: parsed.output }
}

function badManifest (detail: string): { failure: WeightsFailure } {
  return { failure: { type: 'weights-failure', reason: 'bad-manifest', detail } }
}

/**
 * Returns the manifest digest that a pool is configured to serve, or `undefined` if there is no such pool or version.
 *
 * @example
 * wantedDigest(configuration, 'drafting')
 */
export function wantedDigest (configuration: Configuration, pool: string): string | undefined {
  const wanted = configuration.pools[pool]
  if (wanted === undefined) return undefined
  return configuration.models[wanted.model]?.versions[wanted.version]
}
