/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Turns a table of actions into fast-check commands and runs them against a simulated world. The model of a run is the list of
 * executed actions; the oracles are part of the worlds.
 */
import fc from 'fast-check'
import type { World } from './world.js'

/** An action that a scenario can apply to its world. */
export interface Action<Subject> {
  readonly name: string
  /** Number of random integers that the action takes. */
  readonly valueCount: number
  /** Relative frequency among the actions; 1 if absent. */
  readonly weight?: number
  readonly run: (subject: Subject, values: readonly number[]) => void
}

/** Interface that a world implements to be fuzzed. */
export interface Subject {
  readonly world: World
  /** Ends all disturbances, then checks the promises. */
  settle (): void
}

/** A world with its actions and promises. */
export interface Scenario<Kind extends Subject, Parts> {
  readonly name: string
  readonly actions: readonly Action<Kind>[]
  readonly create: (seed: number, parts: Parts) => Kind
  /** Names of the promises that the scenario checks, as they stand in the violations. */
  readonly promises: readonly string[]
}

/** Result of the runs of a scenario. */
export interface Finding {
  readonly runs: number
  readonly commands: number
  readonly violations: readonly string[]
  /** The shrunk case and the path that replays it; both are empty if no promise was violated. */
  readonly counterexample: string
  readonly path: string
}

interface RunModel {
  readonly actions: string[]
}

const MAX_COMMANDS = 40
const MAX_DRAW = 1_000
const MAX_SEED = 0x7fffffff

class ActionCommand<Kind extends Subject> implements fc.Command<RunModel, Kind> {
  constructor (private readonly _action: Action<Kind>, private readonly _values: readonly number[], private readonly _delay: number) {}

  check (): boolean { return true }

  run (model: RunModel, subject: Kind): void {
    model.actions.push(this._action.name)
    this._action.run(subject, this._values)
    subject.world.advance(this._delay)
    throwIfViolated(subject)
  }

  toString (): string { return `${this._action.name}(${this._values.join(', ')}) +${this._delay} ms` }
}

class ViolationError extends Error {}

function throwIfViolated (subject: Subject): void {
  if (subject.world.violations.length > 0) throw new ViolationError(subject.world.violations.join('; '))
}

function commandArbitrary<Kind extends Subject> (action: Action<Kind>): fc.Arbitrary<fc.Command<RunModel, Kind>> {
  const valuesArbitrary = fc.array(fc.integer({ min: 0, max: MAX_DRAW }), { minLength: action.valueCount, maxLength: action.valueCount })
  const pause = fc.oneof(fc.constant(0), fc.integer({ min: 1, max: 60 }), fc.integer({ min: 60, max: 3_000 }))
  return fc.tuple(valuesArbitrary, pause).map(([values, milliseconds]) => new ActionCommand(action, values, milliseconds))
}

/**
 * Runs a scenario repeatedly with random commands.
 *
 * @param options.path Path of an earlier finding; replays only its case.
 * @example
 * const finding = runScenario(requestScenario, realRequestParts, { seed: 7, runs: 200 })
 */
export function runScenario<Kind extends Subject, Parts> (scenario: Scenario<Kind, Parts>, parts: Parts, options: { seed: number, runs: number, path?: string }): Finding {
  let commands = 0
  let runs = 0
  const arbitraries = scenario.actions.flatMap(action => Array.from({ length: action.weight ?? 1 }, () => commandArbitrary(action)))
  const property = fc.property(fc.integer({ min: 1, max: MAX_SEED }), fc.commands(arbitraries, { maxCommands: MAX_COMMANDS, size: 'max' }), (seed, commandSequence) => {
    runs += 1
    const model: RunModel = { actions: [] }
    const subject = scenario.create(seed, parts)
    fc.modelRun(() => ({ model, real: subject }), commandSequence)
    subject.settle()
    commands += model.actions.length
    throwIfViolated(subject)
  })
  const details = fc.check(property, { seed: options.seed, numRuns: options.runs, ...(options.path === undefined ? {} : { path: options.path }) })
  const error = details.errorInstance
  if (details.failed && error instanceof Error && !(error instanceof ViolationError)) throw error
  return {
    runs,
    commands,
    violations: details.failed && error instanceof Error ? error.message.split('; ') : [],
    counterexample: details.failed ? String(details.counterexample) : '',
    path: details.counterexamplePath ?? ''
  }
}
