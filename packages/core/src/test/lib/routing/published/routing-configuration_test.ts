/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RouteTable, allowedRegionsOf, pickService, urgenciesOf, urgencyOf, type Route, type RoutingConfiguration } from '../../../../lib/routing/published/routing-configuration.js'

/** Returns a route with defaults for the properties that are not given. */
function route (part: Partial<Route>): Route {
  return {
    name: 'plans', host: 'halls.example', pathPrefix: '/plans/', kind: 'safe', timeout: 2_000, objective: 400, gapObjective: 0, priority: 1, maxAttempts: 2, open: false, resumable: false, targets: [{ service: 'desk', weight: 1 }], ...part
  }
}

function table (routes: readonly Route[], organisations: RoutingConfiguration['organisations']): RouteTable {
  return new RouteTable({ version: 1, routes, services: [], organisations, limits: { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 } })
}

const branch = { name: 'branch', keys: ['key-1', 'key-2'] }

describe('urgencyOf', () => {
  it('is the organisation\'s priority before the route\'s', () => {
    assert.deepEqual([urgencyOf(route({}), undefined), urgencyOf(route({}), { priority: undefined }), urgencyOf(route({}), { priority: 0 })], [1, 1, 0])
  })
})

describe('urgenciesOf', () => {
  it('lists those of the service\'s routes and of organisations, for a service that has routes', () => {
    const configuration = { routes: [route({}), route({ priority: 2, targets: [{ service: 'other', weight: 1 }] })], organisations: [branch, { ...branch, priority: 0 }] }
    assert.deepEqual(['desk', 'other', 'none'].map(service => urgenciesOf(service, configuration)), [[1, 0], [2, 0], []])
  })
})

describe('RouteTable.match', () => {
  const routes = [route({}), route({ name: 'long', pathPrefix: '/plans/long/' }), route({ name: 'open', pathPrefix: '/open/', open: true }), route({ name: 'other', host: 'other.example' })]
  const cases: [name: string, host: string, path: string, key: string | undefined, expected: string][] = [
    ['a prefix', 'halls.example', '/plans/7', 'key-1', 'plans'],
    ['the prefix itself', 'halls.example', '/plans/', 'key-2', 'plans'],
    ['the longest prefix', 'halls.example', '/plans/long/7', 'key-1', 'long'],
    ['the same path of another host', 'other.example', '/plans/7', 'key-1', 'other'],
    ['a path that only resembles the prefix', 'halls.example', '/plansx', 'key-1', 'unknown-route'],
    ['a host that has no routes', 'no.example', '/plans/7', 'key-1', 'unknown-route'],
    ['an unknown key', 'halls.example', '/plans/7', 'key-9', 'unknown-key'],
    ['no key', 'halls.example', '/plans/7', undefined, 'unknown-key'],
    ['no key on an open route', 'halls.example', '/open/7', undefined, 'open'],
    ['an unknown key on an unknown route', 'halls.example', '/none/', 'key-9', 'unknown-route']
  ]
  for (const [name, host, path, key, expected] of cases) {
    it(`finds ${name}`, () => {
      const match = table(routes, [branch]).match(host, path, key)
      assert.equal(match.type === 'route' ? match.route.name : match.type, expected)
    })
  }

  it('requires no key if no organisations are configured', () => {
    const match = table(routes, []).match('halls.example', '/plans/7', undefined)
    assert.equal(match.type, 'route')
  })

  it('returns the organisation that owns the key', () => {
    const match = table(routes, [branch]).match('halls.example', '/open/7', 'key-2')
    assert.equal(match.type === 'route' && match.organisation?.name, 'branch')
  })
})

describe('pickService', () => {
  const shared = route({ targets: [{ service: 'a', weight: 90 }, { service: 'b', weight: 10 }] })
  const cases: [draw: number, expected: string][] = [[0, 'a'], [0.899, 'a'], [0.9, 'b'], [0.999, 'b']]
  for (const [draw, expected] of cases) it(`picks ${expected} for ${draw}`, () => assert.equal(pickService(shared, draw), expected))
  it('returns an empty name for a route without targets', () => assert.equal(pickService(route({ targets: [] }), 0.5), ''))
})

describe('allowedRegionsOf', () => {
  const cases: [name: string, ofRoute: string[] | undefined, ofOrganisation: string[] | undefined, expected: string[] | undefined][] = [
    ['all regions without rules', undefined, undefined, undefined],
    ['all regions for empty lists', [], [], undefined],
    ['the regions of the route', ['a', 'b'], undefined, ['a', 'b']],
    ['the regions of the organisation', undefined, ['b'], ['b']],
    ['the regions of the organisation if the list of the route is empty', [], ['b'], ['b']],
    ['the regions that both allow', ['a', 'b'], ['b', 'c'], ['b']],
    ['no region if both allow different ones', ['a'], ['b'], []]
  ]
  for (const [name, ofRoute, ofOrganisation, expected] of cases) {
    it(`allows ${name}`, () => {
      const allowed = allowedRegionsOf(route({ allowedRegions: ofRoute }), { ...branch, allowedRegions: ofOrganisation })
      assert.deepEqual(allowed === undefined ? undefined : [...allowed], expected)
    })
  }
  it('allows the regions of the route to callers without an organisation', () => assert.deepEqual(allowedRegionsOf(route({ allowedRegions: ['a'] }), undefined), new Set(['a'])))
})
