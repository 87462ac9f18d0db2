/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** The scenarios: the actions that each world allows and the promises that it checks. */
import { ConfigurationWorld, type ConfigurationParts } from './configuration-world.js'
import { LimitWorld, type LimitParts } from './limit-world.js'
import type { PublishedParts } from './published-parts.js'
import { PublishedWorld } from './published-world.js'
import type { RequestParts } from './request-parts.js'
import { RequestWorld } from './request-world.js'
import { RoutedWorld, type RoutedParts, type Treatment } from './routed-world.js'
import type { Scenario } from './scenario.js'
import { SuspectWorld, type SuspectParts } from './suspect-world.js'
import { WeightsWorld, type WeightsParts } from './weights-world.js'

const IDS = 3
/** Times are in milliseconds. */
const LONGEST_AGENT_FREEZE = 6_000
const LONGEST_ENTRY_FREEZE = 30_000
/** Duration of the exchange of offer, claims and go. */
const LONGEST_STEP = 50

/** Requests: complete answers, truthful not-run outcomes, at-most-once execution, draining and planned stops. */
export const requestScenario: Scenario<RequestWorld, RequestParts> = {
  name: 'requests',
  promises: ['whole-answer', 'not-run', 'at-most-once', 'leaving', 'planned-stop'],
  create: (seed, parts) => new RequestWorld(seed, parts),
  actions: [
    { name: 'submit-once', draws: 2, weight: 6, run: (subject, [id = 0, entry = 0]) => subject.submitOnce(id % IDS, entry) },
    { name: 'issue', draws: 0, run: subject => subject.issue() },
    { name: 'lose-keepers', draws: 3, run: (subject, [entry = 0, agent = 0, delay = 0]) => subject.loseKeepers(entry, agent, delay) },
    { name: 'submit-issued', draws: 2, weight: 4, run: (subject, [id = 0, entry = 0]) => subject.submitIssued(id, entry) },
    { name: 'submit-repeatable', draws: 2, weight: 3, run: (subject, [id = 0, entry = 0]) => subject.submit(`any-${id}`, entry, false) },
    { name: 'kill-agent', draws: 1, run: (subject, [agent = 0]) => subject.kill(agent) },
    { name: 'replace-agent', draws: 1, run: (subject, [agent = 0]) => subject.replace(agent) },
    { name: 'replace-rack', draws: 1, run: (subject, [agent = 0]) => subject.replaceRack(agent) },
    {
      name: 'submit-and-freeze',
      draws: 4,
      weight: 2,
      run: (subject, [id = 0, entry = 0, delay = 0, length = 0]) => {
        subject.submitOnce(id % IDS, entry)
        subject.world.after(delay / 1_000 * LONGEST_STEP, undefined, () => subject.freezeOffered(length / 1_000 * LONGEST_AGENT_FREEZE))
      }
    },
    {
      name: 'submit-and-mute',
      draws: 3,
      weight: 2,
      run: (subject, [id = 0, entry = 0, delay = 0]) => {
        subject.submitOnce(id % IDS, entry)
        subject.world.after(delay / 1_000 * LONGEST_STEP, undefined, () => subject.muteOffered())
      }
    },
    { name: 'replace-entry', draws: 1, run: (subject, [entry = 0]) => subject.replaceEntry(entry) },
    {
      name: 'freeze-agent',
      draws: 2,
      run: (subject, [agent = 0, length = 0]) => {
        subject.freezeAgent(agent)
        subject.world.after(length / 1_000 * LONGEST_AGENT_FREEZE, undefined, () => subject.thawAgent(agent))
      }
    },
    {
      name: 'freeze-entry',
      draws: 2,
      run: (subject, [entry = 0, length = 0]) => {
        subject.freezeEntry(entry)
        subject.world.after(length / 1_000 * LONGEST_ENTRY_FREEZE, undefined, () => subject.thawEntry(entry))
      }
    },
    { name: 'cut-one-way', draws: 2, run: (subject, [from = 0, to = 0]) => subject.cut(from, to, false) },
    { name: 'cut-both-ways', draws: 2, run: (subject, [from = 0, to = 0]) => subject.cut(from, to, true) },
    { name: 'cut-platform', draws: 1, run: (subject, [zone = 0]) => subject.cutPlatform(zone) },
    { name: 'heal', draws: 0, run: subject => subject.world.heal() },
    { name: 'list-leaving', draws: 1, run: (subject, [agent = 0]) => subject.listLeaving(agent) },
    { name: 'order-leaving', draws: 1, run: (subject, [agent = 0]) => subject.orderLeaving(agent) },
    { name: 'stop-agent', draws: 1, run: (subject, [agent = 0]) => subject.stopAgent(agent) }
  ]
}

/** Weights: an engine never loads a partial or mixed version, and every engine reaches the desired version. */
export const weightsScenario: Scenario<WeightsWorld, WeightsParts> = {
  name: 'weights',
  promises: ['whole-version', 'one-version', 'reaches-all'],
  create: (seed, parts) => new WeightsWorld(seed, parts),
  actions: [
    { name: 'request', draws: 1, weight: 5, run: (subject, [agent = 0]) => subject.request(agent) },
    { name: 'want', draws: 1, weight: 2, run: (subject, [version = 0]) => subject.want(version) },
    { name: 'kill', draws: 1, run: (subject, [agent = 0]) => subject.kill(agent) },
    { name: 'replace', draws: 1, run: (subject, [agent = 0]) => subject.replace(agent, false) },
    { name: 'replace-frozen', draws: 1, run: (subject, [agent = 0]) => subject.replace(agent, true) },
    { name: 'freeze', draws: 1, run: (subject, [agent = 0]) => subject.freeze(agent) },
    { name: 'thaw', draws: 0, run: subject => subject.thawAll() },
    { name: 'cut', draws: 2, run: (subject, [from = 0, to = 0]) => subject.cut(from, to) },
    { name: 'heal', draws: 0, run: subject => subject.world.heal() },
    { name: 'corrupt', draws: 1, run: (subject, [agent = 0]) => subject.corrupt(agent) },
    { name: 'origin', draws: 1, run: (subject, [well = 0]) => subject.setOrigin(well % 2 === 0) }
  ]
}

const treatments: readonly Treatment[] = ['answer', 'shed', 'cut', 'fail', 'reject', 'answer-plainly', 'vanish']
const MOST_REQUESTS = 200
const LONGEST_LOAD = 4_000
/** Longer than two windows of the retry bound, in milliseconds. */
const SAVED_FOR = 25_000

function treatmentOf (drawn: number): Treatment { return treatments[drawn % treatments.length] ?? 'answer' }

/** Requests that go directly to endpoints: no partial stream looks complete, and the retries of all entries stay within their bound. */
export const routedScenario: Scenario<RoutedWorld, RoutedParts> = {
  name: 'routed',
  promises: ['whole-stream', 'retry-bound'],
  create: (seed, parts) => new RoutedWorld(seed, parts),
  actions: [
    { name: 'load', draws: 2, weight: 6, run: (subject, [count = 0, length = 0]) => subject.load(Math.ceil(count / 1_000 * MOST_REQUESTS), length / 1_000 * LONGEST_LOAD) },
    { name: 'treat-new', draws: 2, weight: 3, run: (subject, [drawn = 0, share = 0]) => subject.treat('begin', treatmentOf(drawn), share / 1_000) },
    { name: 'treat-resumed', draws: 2, weight: 3, run: (subject, [drawn = 0, share = 0]) => subject.treat('go-on', treatmentOf(drawn), share / 1_000) },
    {
      // Spends the accumulated retry budget at once, after the requests that earned it have left the window that counts. Some
      // zones may be cut off meanwhile.
      name: 'save-then-fail',
      draws: 2,
      weight: 2,
      run: (subject, [count = 0, cuts = 0]) => {
        for (let zone = 0; zone < cuts % 3; zone += 1) subject.cutZone(zone)
        subject.treat('begin', 'answer', 0)
        subject.load(MOST_REQUESTS * 2, LONGEST_LOAD)
        subject.world.after(SAVED_FOR, undefined, () => {
          subject.treat('begin', 'shed', 1)
          subject.load(Math.ceil(count / 1_000 * MOST_REQUESTS), LONGEST_LOAD / 4)
        })
      }
    },
    { name: 'restart', draws: 1, weight: 2, run: (subject, [share = 0]) => subject.restart(share / 1_000) },
    { name: 'cut-zone', draws: 1, weight: 2, run: (subject, [zone = 0]) => subject.cutZone(zone) },
    { name: 'heal', draws: 0, run: subject => subject.world.heal() }
  ]
}

const MOST_REPEATS = 40
const LONGEST_REPEAT = 8_000

/** Requests that crash endpoints: the fleet holds such a request back after three crashes, and holds back no other request. */
export const suspectScenario: Scenario<SuspectWorld, SuspectParts> = {
  name: 'suspects',
  promises: ['few-ends', 'no-innocents'],
  create: (seed, parts) => new SuspectWorld(seed, parts),
  actions: [
    { name: 'load', draws: 2, weight: 4, run: (subject, [count = 0, length = 0]) => subject.load(Math.ceil(count / 1_000 * MOST_REQUESTS), length / 1_000 * LONGEST_LOAD) },
    { name: 'repeat', draws: 3, weight: 4, run: (subject, [which = 0, count = 0, length = 0]) => subject.repeat(which, Math.ceil(count / 1_000 * MOST_REPEATS), length / 1_000 * LONGEST_REPEAT) },
    { name: 'reset-connections', draws: 1, weight: 2, run: (subject, [entry = 0]) => subject.resetConnections(entry) },
    { name: 'end-one', draws: 1, weight: 2, run: (subject, [endpoint = 0]) => subject.endOne(endpoint) },
    { name: 'restart', draws: 1, weight: 2, run: (subject, [entry = 0]) => subject.restart(entry) },
    { name: 'cut-zone', draws: 1, run: (subject, [zone = 0]) => subject.cutZone(zone) },
    { name: 'heal', draws: 0, weight: 2, run: subject => subject.heal() }
  ]
}

/** Limits that overloaded endpoints announce, in requests per second; the first two have occurred in service. */
const LIMITS = [1.1, 1.7, 0, 0.3, 5, 20] as const
/** Largest factor by which a burst exceeds the usual load. */
const LARGEST_BURST = 6

/** Limits that endpoints announce: all entries together stay within them, and learn when they end. */
export const limitScenario: Scenario<LimitWorld, LimitParts> = {
  name: 'limits',
  promises: ['within-limit', 'limit-ends'],
  create: (seed, parts) => new LimitWorld(seed, parts),
  actions: [
    { name: 'load', draws: 1, weight: 6, run: (subject, [length = 0]) => subject.load(length / 1_000 * 2 * LONGEST_LOAD, 1) },
    { name: 'burst', draws: 2, weight: 2, run: (subject, [length = 0, factor = 0]) => subject.load(length / 1_000 * LONGEST_LOAD, 1 + factor / 1_000 * LARGEST_BURST) },
    { name: 'name-limit', draws: 2, weight: 3, run: (subject, [endpoint = 0, limit = 0]) => subject.name(endpoint, LIMITS[limit % LIMITS.length] ?? LIMITS[0]) },
    { name: 'end-limit', draws: 1, run: (subject, [endpoint = 0]) => subject.end(endpoint) },
    { name: 'restart', draws: 1, weight: 2, run: (subject, [entry = 0]) => subject.restart(entry) },
    { name: 'cut-zone', draws: 1, run: (subject, [zone = 0]) => subject.cutZone(zone) },
    { name: 'heal', draws: 0, weight: 2, run: subject => subject.heal() }
  ]
}

/** A store that is restored from older copies: acknowledged changes are in force in time, and no process reverts to older ones. */
export const publishedScenario: Scenario<PublishedWorld, PublishedParts> = {
  name: 'published',
  promises: ['in-force-after-restore', 'never-back'],
  create: (seed, parts) => new PublishedWorld(seed, parts),
  actions: [
    { name: 'publish', draws: 0, weight: 4, run: subject => subject.publish() },
    { name: 'name', draws: 0, run: subject => subject.name() },
    { name: 'begin', draws: 0, weight: 2, run: subject => subject.begin() },
    { name: 'drain', draws: 1, weight: 3, run: (subject, [endpoint = 0]) => subject.drain(endpoint) },
    { name: 'leave', draws: 1, weight: 2, run: (subject, [endpoint = 0]) => subject.leave(endpoint) },
    { name: 'interrupt', draws: 1, run: (subject, [away = 0]) => subject.interrupt(away / 1_000) },
    { name: 'restore', draws: 2, weight: 3, run: (subject, [away = 0, age = 0]) => subject.restore(away / 1_000, age / 1_000) },
    { name: 'forget', draws: 0, run: subject => subject.forget() },
    { name: 'restart', draws: 1, run: (subject, [member = 0]) => subject.restart(member) },
    { name: 'cut-zone', draws: 1, run: (subject, [zone = 0]) => subject.cutZone(zone) },
    { name: 'heal', draws: 0, weight: 2, run: subject => subject.heal() }
  ]
}

const serviceStates = ['normal', 'down', 'stale'] as const

/** Configuration: a revision is in force within the time allowed, is never reverted and is never invalid. */
export const configurationScenario: Scenario<ConfigurationWorld, ConfigurationParts> = {
  name: 'configuration',
  promises: ['in-force', 'never-reverts', 'accepted-only'],
  create: (seed, parts) => new ConfigurationWorld(seed, parts),
  actions: [
    { name: 'publish', draws: 0, weight: 3, run: subject => subject.publish(true) },
    {
      name: 'publish-two-at-once',
      draws: 0,
      run: subject => {
        subject.publish(true)
        subject.publish(true)
      }
    },
    { name: 'publish-invalid', draws: 0, run: subject => subject.publish(false) },
    { name: 'service', draws: 1, weight: 2, run: (subject, [state = 0]) => subject.setService(serviceStates[state % serviceStates.length] ?? 'normal') },
    { name: 'restart', draws: 1, weight: 2, run: (subject, [member = 0]) => subject.restart(member) },
    { name: 'freeze', draws: 1, run: (subject, [member = 0]) => subject.freeze(member) },
    { name: 'thaw', draws: 0, run: subject => subject.thawAll() },
    { name: 'cut-one-way', draws: 2, run: (subject, [from = 0, to = 0]) => subject.cutZones(from, to, false) },
    { name: 'cut-both-ways', draws: 2, run: (subject, [from = 0, to = 0]) => subject.cutZones(from, to, true) },
    { name: 'cut-platform', draws: 1, run: (subject, [zone = 0]) => subject.cutPlatform(zone) },
    { name: 'heal', draws: 0, run: subject => subject.world.heal() },
    { name: 'quiet', draws: 0, weight: 2, run: subject => subject.quiet() }
  ]
}
