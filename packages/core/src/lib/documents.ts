/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * The documents that the platform publishes, and the manifest of a version, with their schemas.
 * A document is taken whole or refused whole; nothing in here reads or writes anything.
 */
import * as valibot from 'valibot'
import type { DocumentFailure, WeightsFailure } from './failure.js'

const name = valibot.pipe(valibot.string(), valibot.regex(/^[a-z0-9][a-z0-9._-]{0,62}$/i))
const digest = valibot.pipe(valibot.string(), valibot.regex(/^[0-9a-f]{64}$/))
const positive = valibot.pipe(valibot.number(), valibot.integer(), valibot.minValue(1))
const fraction = valibot.pipe(valibot.number(), valibot.minValue(0.01), valibot.maxValue(1))

const poolSchema = valibot.strictObject({
  model: name,
  version: name,
  /** The share of a pool's engines in one availability zone that may switch version at once. */
  switchFraction: valibot.optional(fraction, 0.25),
  /** Requests that one engine runs at once. */
  slots: valibot.optional(positive, 8),
  /** Copies that may be read from the origin for one version. */
  originCopies: valibot.optional(valibot.pipe(positive, valibot.maxValue(64)), 1),
  /** The hour by which the version is to be in place, as milliseconds since 1970; told in forecasts. */
  neededBy: valibot.optional(positive)
})

const callPatternSchema = valibot.strictObject({
  method: valibot.picklist(['GET', 'POST', 'PUT', 'PATCH', 'DELETE']),
  pathPrefix: valibot.pipe(valibot.string(), valibot.startsWith('/'))
})

const serviceSchema = valibot.strictObject({
  slots: valibot.optional(positive, 16),
  /** Calls that run at most once for one request id. */
  neverRepeat: valibot.optional(valibot.array(callPatternSchema), [])
})

const organisationSchema = valibot.strictObject({
  weight: valibot.optional(valibot.pipe(positive, valibot.maxValue(1000)), 1),
  /** Requests of one organisation that one entry runs at once; absent for no limit of its own. */
  inProgress: valibot.optional(positive),
  /** Digests of the caller keys that stand for this organisation. */
  keyDigests: valibot.optional(valibot.array(digest), [])
})

const configurationSchema = valibot.strictObject({
  models: valibot.record(name, valibot.strictObject({ versions: valibot.record(name, digest) })),
  pools: valibot.record(name, poolSchema),
  services: valibot.record(name, serviceSchema),
  organisations: valibot.record(name, organisationSchema),
  /** Instances that take no new work. */
  draining: valibot.optional(valibot.array(name), [])
})

const addressPattern = /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/
const instanceSchema = valibot.strictObject({
  instance: name,
  availabilityZone: name,
  role: valibot.picklist(['entry', 'agent']),
  address: valibot.pipe(valibot.string(), valibot.regex(addressPattern)),
  /** The pool or service that an agent's endpoint belongs to. */
  endpoint: valibot.optional(name),
  state: valibot.picklist(['live', 'leaving'])
})
const instanceListSchema = valibot.strictObject({ instances: valibot.array(instanceSchema) })

const manifestSchema = valibot.strictObject({
  model: name,
  version: name,
  bytes: positive,
  chunks: valibot.pipe(valibot.array(valibot.strictObject({ digest, bytes: positive })), valibot.minLength(1))
})

/** The settings that operators publish: models, pools, services and organisations. */
export type Configuration = valibot.InferOutput<typeof configurationSchema>
/** A pool of model workers as configured. */
export type PoolConfiguration = valibot.InferOutput<typeof poolSchema>
/** One line of the instance list. */
export type InstanceRecord = valibot.InferOutput<typeof instanceSchema>
/** The platform's list of instances. */
export type InstanceList = valibot.InferOutput<typeof instanceListSchema>
/** The chunks of one version of a model. Its digest is the version's identity. */
export type Manifest = valibot.InferOutput<typeof manifestSchema>

/** Either a value or the failure that explains why there is none. */
export type Checked<Value, Problem> = { readonly value: Value } | { readonly failure: Problem }

function issueText (issues: readonly valibot.BaseIssue<unknown>[]): string {
  return issues.slice(0, 3).map(issue => `${valibot.getDotPath(issue) ?? 'document'}: ${issue.message}`).join('; ')
}

function invalid (detail: string): { failure: DocumentFailure } {
  return { failure: { type: 'document-failure', reason: 'invalid', detail } }
}

/**
 * Checks a configuration document, its cross references included.
 *
 * @example
 * const checked = checkConfiguration(JSON.parse(text))
 * if ('failure' in checked) keepTheOldOne(checked.failure)
 */
export function checkConfiguration (input: unknown): Checked<Configuration, DocumentFailure> {
  const parsed = valibot.safeParse(configurationSchema, input)
  if (!parsed.success) return invalid(issueText(parsed.issues))
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
 * Checks an instance list; two lines for one instance are refused.
 *
 * @example
 * checkInstanceList({ instances: [] })
 */
export function checkInstanceList (input: unknown): Checked<InstanceList, DocumentFailure> {
  const parsed = valibot.safeParse(instanceListSchema, input)
  if (!parsed.success) return invalid(issueText(parsed.issues))
  const seen = new Set<string>()
  for (const { instance } of parsed.output.instances) {
    if (seen.has(instance)) return invalid(`instances: ${instance} stands twice`)
    seen.add(instance)
  }
  return { value: parsed.output }
}

/**
 * Checks a manifest: its sizes must add up and stay under `limitBytes`. That its digest is the wanted one is for
 * the caller to check on the bytes themselves.
 *
 * @example
 * checkManifest(JSON.parse(bytes.toString()), 2 ** 40)
 */
export function checkManifest (input: unknown, limitBytes: number): Checked<Manifest, WeightsFailure> {
  const parsed = valibot.safeParse(manifestSchema, input)
  if (!parsed.success) return badManifest(issueText(parsed.issues))
  const total = parsed.output.chunks.reduce((sum, chunk) => sum + chunk.bytes, 0)
  if (total !== parsed.output.bytes) return badManifest(`chunks add up to ${total} bytes, not ${parsed.output.bytes}`)
  if (total > limitBytes) return { failure: { type: 'weights-failure', reason: 'too-large', detail: `${total} bytes` } }
  return { value: parsed.output }
}

function badManifest (detail: string): { failure: WeightsFailure } {
  return { failure: { type: 'weights-failure', reason: 'bad-manifest', detail } }
}

/**
 * The manifest digest that a pool is to serve.
 *
 * @example
 * wantedDigest(configuration, 'drafting')
 */
export function wantedDigest (configuration: Configuration, pool: string): string | undefined {
  const wanted = configuration.pools[pool]
  if (wanted === undefined) return undefined
  return configuration.models[wanted.model]?.versions[wanted.version]
}
