/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** What can happen to each world, and which promises it is there for. */
import { ConfigurationWorld, type ConfigurationParts } from './configuration-world.js'
import type { RequestParts } from './request-parts.js'
import { RequestWorld } from './request-world.js'
import type { Scenario } from './scenario.js'
import { WeightsWorld, type WeightsParts } from './weights-world.js'

const IDS = 3
const LONGEST_AGENT_FREEZE = 6_000
const LONGEST_ENTRY_FREEZE = 30_000
/** The time in which offer, claims and go follow each other, in milliseconds. */
const LONGEST_STEP = 50

/** Requests: whole answers, true refusals, at most once, leaving, planned stops. */
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

/** Weights: no partial version, no mix of two, and every engine reaches the wanted one. */
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

const serviceStates = ['normal', 'down', 'stale'] as const

/** Configuration: in force within the time allowed, never taken back, never an invalid one. */
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
