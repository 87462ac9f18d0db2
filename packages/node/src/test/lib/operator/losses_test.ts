/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, describe, it } from 'node:test'
import { parseLogLine, type RequestCause } from '../../../lib/operator/explain.js'
import { lossesOfFiles } from '../../../lib/operator/losses-files.js'
import { countLosses } from '../../../lib/operator/losses.js'

function lineAt (second: number, text: string): string {
  return `time=${new Date(second * 1_000).toISOString()} level=info event=${text}`
}

const texts = [
  lineAt(1, 'request-sent id=a endpoint=e1 expected=120 instance=entry-1'),
  lineAt(1.2, 'request-ended id=a result=answered status=200 first=130 objective=400 gap=60 instance=entry-1'),
  lineAt(1.9, 'request-ended id=b result=refused code=overloaded instance=entry-1'),
  lineAt(1.9, 'request-sent id=c endpoint=e1 expected=120 instance=entry-2'),
  lineAt(4.1, 'request-ended id=c result=answered status=200 first=130 objective=400 gap=2000 instance=entry-2'),
  lineAt(4.2, 'request-ended id=d result=refused code=unknown-organisation instance=entry-2'),
  lineAt(4.3, 'request-ended id=e result=refused code=overloaded instance=entry-2'),
  lineAt(4.3, 'agent-lost agent=10.0.0.1:7700 instance=entry-2')
]
const lines = texts.flatMap(text => parseLogLine(text) ?? [])

function counts (map: ReadonlyMap<RequestCause, number> | undefined): Record<string, number> { return Object.fromEntries(map ?? []) }

describe('countLosses', () => {
  const table = countLosses(lines, 2_000)
  const groups: [name: string, found: Record<string, number>, expected: Record<string, number>][] = [
    ['all requests', counts(table.all), { 'in-time': 1, overloaded: 2, 'stream-paused': 1, 'not-allowed': 1 }],
    ['requests of one entry', counts(table.byEntry.get('entry-1')), { 'in-time': 1, overloaded: 1 }],
    ['requests of one span, by their first line,', counts(table.bySpan.get(0)), { 'in-time': 1, overloaded: 1, 'stream-paused': 1 }],
    ['requests of a later span', counts(table.bySpan.get(4_000)), { 'not-allowed': 1, overloaded: 1 }]
  ]
  for (const [name, found, expected] of groups) it(`counts ${name} by cause`, () => assert.deepEqual(found, expected))
})

describe('lossesOfFiles', () => {
  const folder = mkdtempSync(join(tmpdir(), 'losses-'))
  after(() => rmSync(folder, { recursive: true }))
  const file = (name: string, content: string): string => {
    writeFileSync(join(folder, name), content)
    return join(folder, name)
  }

  const cases: [name: string, file: string, span: string, code: number, output: RegExp][] = [
    ['prints the lost requests', file('good.log', texts.join('\n')), '2', 0, /^event=losses requests=5 lost=3\nevent=losses-cause cause=overloaded requests=2\nevent=losses-cause cause=stream-paused requests=1\n/],
    ['reads files with truncated and foreign lines', file('mixed.log', `noise\n${texts.join('\n')}\ntime=2026-12-02T05:30:00.000Z event=requ`), '2', 0, /requests=5 lost=3/],
    ['reports files without requests', file('empty.log', 'a line from another program'), '2', 1, /event=not-found files=1 lines=0/],
    ['reports an unreadable file', join(folder, 'missing.log'), '2', 2, /event=file-unreadable file=.*missing\.log/],
    ['rejects a span that is not a number', file('span.log', ''), 'two', 2, /event=option-wrong option=span value=two/],
    ['rejects a span of zero', file('zero.log', ''), '0', 2, /event=option-wrong/]
  ]
  for (const [name, path, span, code, output] of cases) {
    it(name, async () => {
      let printed = ''
      assert.equal(await lossesOfFiles([path], span, text => { printed += text }), code)
      assert.match(printed, output)
    })
  }
})
