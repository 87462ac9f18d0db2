/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Reads a settings file in INI format and validates it against the schema. Duplicates are rejected too; the INI parser
 * accepts them silently. The first invalid setting throws a typed failure with file, section, key and the expected value.
 */
import { readFileSync } from 'node:fs'
import { parse } from 'ini'
import { DrumdriftError } from '@drumdrift/core'
import { isAddress } from './address.js'
import { settingSpecifications, type Role, type SettingSpecification, type SettingType } from './schema.js'

/** Validated settings of one process. */
export class Settings {
  constructor (readonly role: Role, private _values: ReadonlyMap<string, string>) {}

  /**
   * Returns a setting as text.
   *
   * @example
   * settings.text('process', 'instance')
   */
  text (section: string, key: string): string {
    return this._values.get(`${section}.${key}`) ?? ''
  }

  /** Returns a setting as a number, in the unit given by its key. */
  number (section: string, key: string): number {
    return Number(this.text(section, key))
  }

  /**
   * Replaces the values by those of newer settings, for example after the file changed. Later reads return the new
   * values.
   *
   * @returns The settings that changed, as section.key.
   * @example
   * const changed = settings.adopt(readSettings(file, settings.role))
   */
  adopt (newer: Settings): string[] {
    const changed = [...newer._values].filter(([name, value]) => this._values.get(name) !== value).map(([name]) => name)
    this._values = newer._values
    return changed
  }

  /** Returns a comma-separated setting as a list. */
  list (section: string, key: string): string[] {
    return splitList(this.text(section, key))
  }
}

const namePattern = /^[a-z0-9][a-z0-9._-]{0,62}$/i

type Check = (value: string, specification: SettingSpecification) => string | undefined

/** Checks by type. Each returns a description of the expected value, or `undefined` if the value is valid. */
const checks: Record<SettingType, Check> = {
  name: value => namePattern.test(value) ? undefined : 'a name of at most 63 letters, digits, dots, dashes and underscores',
  text: value => value === '' ? 'a non-empty value' : undefined,
  address: value => isAddress(value) ? undefined : 'an IP number and a port, such as 10.0.0.7:7400',
  addresses: value => splitList(value).every(isAddress) ? undefined : 'IP numbers with ports, separated by commas',
  number: checkNumber,
  choice: (value, { choices = [] }) => choices.includes(value) ? undefined : `one of ${choices.join(', ')}`
}

/**
 * Reads and validates a settings file.
 *
 * @throws DrumdriftError with a settings failure.
 * @example
 * const settings = readSettings('entry.ini', 'entry')
 */
export function readSettings (file: string, role: Role): Settings {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch {
    throw settingsError(file, '', '', 'a readable file')
  }
  return checkSettings(text, file, role)
}

/**
 * Validates the text of a settings file.
 *
 * @param file Path of the file, for failures only.
 * @throws DrumdriftError with a settings failure.
 * @example
 * checkSettings('[process]\ninstance = entry-1', 'entry.ini', 'entry')
 */
export function checkSettings (text: string, file: string, role: Role): Settings {
  rejectDuplicates(text, file)
  const given = flattenSections(parse(text), file)
  const known = settingSpecifications.filter(specification => specification.roles.includes(role))
  rejectUnknownKeys(given, known, file, role)
  const values = new Map<string, string>()
  for (const specification of known) values.set(`${specification.section}.${specification.key}`, checkValue(given, specification, file))
  const settings = new Settings(role, values)
  checkZone(settings, file)
  return settings
}

/** Infers the role from the content of a file: only an agent's file has an [endpoint] section. */
export function inferRole (file: string): Role {
  return /^\s*\[endpoint\]/m.test(readFileSync(file, 'utf8')) ? 'agent' : 'entry'
}

function checkValue (given: ReadonlyMap<string, string>, specification: SettingSpecification, file: string): string {
  const { section, key, type, defaultValue } = specification
  const value = given.get(`${section}.${key}`)
  if (value === undefined && defaultValue === undefined) throw settingsError(file, section, key, `a value, which has to be given: ${specification.meaning}`)
  if (value === undefined || value === defaultValue) return defaultValue ?? ''
  const expected = checks[type](value, specification)
  if (expected !== undefined) throw settingsError(file, section, key, expected)
  return value
}

function checkNumber (value: string, { unit, minimum = -Infinity, maximum = Infinity }: SettingSpecification): string | undefined {
  const expected = `a number of ${unit ?? 'units'} from ${minimum} to ${maximum}, without a unit`
  if (!/^-?\d+(\.\d+)?$/.test(value)) return expected
  const number = Number(value)
  return number >= minimum && number <= maximum ? undefined : expected
}

function checkZone (settings: Settings, file: string): void {
  const zones = settings.list('platform', 'availability-zones')
  if (zones.includes(settings.text('process', 'availability-zone'))) return
  throw settingsError(file, 'process', 'availability-zone', `one of [platform] availability-zones: ${zones.join(', ')}`)
}

function rejectDuplicates (text: string, file: string): void {
  const seen = new Set<string>()
  let section = ''
  for (const line of text.split(/\r?\n/)) {
    const trimmed = line.trim()
    if (trimmed === '' || trimmed.startsWith(';') || trimmed.startsWith('#')) continue
    const header = /^\[([^\]]*)\]$/.exec(trimmed)?.[1]
    if (header !== undefined) section = header.trim()
    const key = header === undefined ? trimmed.split('=')[0]?.trim() ?? '' : ''
    const name = `${section}.${key}`
    if (seen.has(name)) throw settingsError(file, section, key, 'to occur only once')
    seen.add(name)
  }
}

function rejectUnknownKeys (given: ReadonlyMap<string, string>, known: readonly SettingSpecification[], file: string, role: Role): void {
  const names = new Set(known.map(({ section, key }) => `${section}.${key}`))
  for (const name of given.keys()) {
    if (names.has(name)) continue
    const dot = name.indexOf('.')
    const section = name.slice(0, dot)
    const keys = known.filter(specification => specification.section === section).map(({ key }) => key)
    const expected = keys.length > 0 ? `one of the keys ${keys.join(', ')}` : `one of the sections ${[...new Set(known.map(entry => entry.section))].join(', ')}`
    throw settingsError(file, section, name.slice(dot + 1), `${expected} (role ${role})`)
  }
}

function flattenSections (parsed: Record<string, unknown>, file: string): Map<string, string> {
  const values = new Map<string, string>()
  for (const [section, entries] of Object.entries(parsed)) {
    if (typeof entries !== 'object' || entries === null) throw settingsError(file, '', section, 'to be in a section')
    for (const [key, value] of Object.entries(entries)) values.set(`${section}.${key}`, String(value))
  }
  return values
}

function settingsError (file: string, section: string, key: string, expected: string): DrumdriftError {
  return new DrumdriftError({ type: 'settings-failure', file, section, key, expected })
}

function splitList (text: string): string[] {
  return text.split(',').map(part => part.trim()).filter(part => part !== '')
}
