/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Parses operator commands. A syntax error has its position, the expected input and, if there is one, a similar keyword.
 */
import { closest, distance } from 'fastest-levenshtein'
import { parse, SyntaxError as GrammarError } from './grammar.generated.js'

/** Fields that a query can filter by. */
export type FilterField = 'zone' | 'pool' | 'version' | 'state' | 'lifecycle' | 'instance'

/** One condition of a query. */
export interface Filter {
  readonly field: FilterField
  readonly value: string
}

/** A parsed command. */
export type Command =
  | { readonly type: 'show', readonly what: 'instances' | 'entries' | 'agents' | 'revisions', readonly filters: readonly Filter[] }
  | { readonly type: 'rollout', readonly pool: string, readonly version: string, readonly neededBy?: string, readonly switchFraction?: number, readonly originCopies?: number }
  | { readonly type: 'leave', readonly lifecycle: 'draining' | 'stopped', readonly instance: string, readonly incarnation: string | null, readonly lasting: boolean }
  | { readonly type: 'help' }

/** A syntax error in a command. */
export interface CommandSyntaxError {
  readonly type: 'language-mistake'
  /** The position in the text, counted from 1. */
  readonly position: number
  readonly expected: string
  readonly nearby: string | undefined
}

const keywords = ['show', 'rollout', 'drain', 'stop', 'help', 'instances', 'entries', 'agents', 'revisions', 'where', 'and', 'zone', 'pool', 'version', 'state', 'lifecycle', 'instance', 'incarnation', 'lasting', 'to', 'by', 'waves', 'copies']
const MAX_EDIT_DISTANCE = 2

/** The answer to the command `help`. */
export const commandHelp = [
  'show instances|entries|agents|revisions [where FIELD = VALUE [and ...]]   fields: zone pool version state lifecycle instance',
  'rollout POOL to VERSION [by 2026-12-24T05:30Z] [waves 25%] [copies 2]     prints the next configuration document, for you to publish',
  'drain INSTANCE [incarnation NAME]                                        accepts no new requests; running requests continue',
  'drain INSTANCE lasting                                                   prints the next configuration document, for you to publish',
  'stop INSTANCE [incarnation NAME]                                         as drain, and the instance reports that it is stopped'
].join('\n')

/**
 * Parses a command.
 *
 * @returns The command, or a description of the syntax error.
 * @example
 * parseCommand('show agents where zone = bagmati')
 * parseCommand('shwo agents') // { type: 'language-mistake', position: 1, nearby: 'show', ... }
 */
export function parseCommand (text: string): Command | CommandSyntaxError {
  try {
    return parse(text) as Command
  } catch (error) {
    if (!(error instanceof GrammarError)) throw error
    return syntaxErrorOf(text, error)
  }
}

function syntaxErrorOf (text: string, error: GrammarError): CommandSyntaxError {
  const offset = wordStart(text, error.location.start.offset)
  const found = /^[a-z]+/i.exec(text.slice(offset))?.[0] ?? ''
  const described: string[] = [...new Set<string>((error.expected ?? []).map(describeExpectation))]
  const expected = described.filter(part => part !== 'space').join(', ')
  return { type: 'language-mistake', position: offset + 1, expected: expected === '' ? 'a space and more words' : expected, nearby: nearestKeyword(found) }
}

/** Moves an error inside a word to the start of the word. At the end of the text input is missing, so the offset stays. */
function wordStart (text: string, offset: number): number {
  let start = offset
  if (offset >= text.length) return offset
  while (start > 0 && /[a-z]/i.test(text[start - 1] ?? '')) start -= 1
  return start
}

function nearestKeyword (found: string): string | undefined {
  if (found === '') return undefined
  const candidate = closest(found.toLowerCase(), keywords)
  return distance(found.toLowerCase(), candidate) <= MAX_EDIT_DISTANCE ? candidate : undefined
}

function describeExpectation (expectation: { type: string, text?: string, description?: string }): string {
  return expectation.description ?? expectation.text ?? expectation.type
}
