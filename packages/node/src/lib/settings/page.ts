/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/** The page of settings, made from the schema. */
import { settingSpecifications, type SettingSpecification } from './schema.js'

/**
 * The text of docs/SETTINGS.md and of `drumdrift settings`.
 *
 * @example
 * process.stdout.write(settingsPage())
 */
export function settingsPage (): string {
  const lines = ['# Settings', '', 'Made by `drumdrift settings`; a test holds this page and the schema together.', '']
  let section = ''
  for (const specification of settingSpecifications) {
    if (specification.section !== section) {
      section = specification.section
      lines.push(`## [${section}]`, '', '| key | of | value | default | meaning |', '|---|---|---|---|---|')
    }
    lines.push(row(specification))
    if (settingSpecifications[settingSpecifications.indexOf(specification) + 1]?.section !== section) lines.push('')
  }
  return lines.join('\n')
}

function row ({ key, roles, fallback, meaning, ...specification }: SettingSpecification): string {
  const shown = fallback === undefined ? 'must be given' : fallback === '' ? 'empty' : `\`${fallback}\``
  return `| \`${key}\` | ${roles.join(', ')} | ${valueText({ key, roles, meaning, ...specification })} | ${shown} | ${meaning} |`
}

function valueText ({ type, unit, least, most, choices, secret }: SettingSpecification): string {
  if (type === 'number') return `${unit ?? ''}, ${least} to ${most}`
  if (type === 'choice') return (choices ?? []).join(', ')
  return secret === true ? `${type}, secret` : type
}
