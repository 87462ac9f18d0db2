/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { describe, it } from 'node:test'
import { BoundedOutput, type DescriptorWrite } from '../../lib/observe/bounded-output.js'
import { Log } from '../../lib/observe/log.js'

/** A reader that consumes bytes only on `readAll`. */
class Reader {
  text = ''
  private _pending: (() => void) | undefined

  /**
   * @param _maxBytes Maximum number of bytes that one write accepts.
   */
  constructor (private readonly _maxBytes = Infinity) {}

  readonly write: DescriptorWrite = (_descriptor, bytes, callback) => {
    this._pending = () => {
      const accepted = bytes.subarray(0, this._maxBytes)
      this.text += accepted.toString('utf8')
      callback(null, accepted.length)
    }
  }

  /** Consumes pending writes until there are none. */
  readAll (): void {
    while (this._pending !== undefined) {
      const consume = this._pending
      this._pending = undefined
      consume()
    }
  }
}

describe('BoundedOutput', () => {
  const cases: [name: string, limit: number, maxBytes: number, lines: string[], text: string, dropped: number][] = [
    ['writes lines in order', 100, Infinity, ['a\n', 'b\n', 'c\n'], 'a\nb\nc\n', 0],
    ['continues after a partial write', 100, 1, ['abc\n', 'de\n'], 'abc\nde\n', 0],
    ['drops lines that exceed the buffer of a stalled reader', 4, Infinity, ['aa\n', 'bb\n', 'cc\n'], 'aa\n', 2]
  ]
  for (const [name, limit, maxBytes, lines, text, dropped] of cases) {
    it(name, () => {
      const reader = new Reader(maxBytes)
      const output = new BoundedOutput(1, limit, reader.write)
      for (const line of lines) output.write(line)
      reader.readAll()
      assert.deepEqual([reader.text, output.takeDropped()], [text, dropped])
    })
  }

  it('accepts lines again after the reader has caught up', () => {
    const reader = new Reader()
    const output = new BoundedOutput(1, 4, reader.write)
    output.write('aa\n')
    output.write('bb\n')
    reader.readAll()
    output.write('cc\n')
    reader.readAll()
    assert.equal(reader.text, 'aa\ncc\n')
  })

  it('does not wait for a stalled reader', async () => {
    const output = new BoundedOutput(1, 1_000, () => {})
    const log = new Log('info', {}, output)
    for (let count = 0; count < 5_000; count += 1) log.request('request-sent', { id: count })
    await output.flush(10)
    assert.ok(output.takeDropped() > 0)
  })
})

/*
 * An entry at 8 requests per second logs about 30 lines per second. With one write per line, starting the writes took 132 of
 * the 1,040 ms for which the main thread was busy, and each write woke another thread.
 */
describe('BoundedOutput with a minimum time between writes', () => {
  const cases: [name: string, lines: number, bytes: number, after: number, writes: number][] = [
    ['writes the first line immediately', 1, 10, 0, 1],
    ['buffers the lines that follow', 5, 10, 0, 1],
    ['writes the buffered lines together after the interval', 5, 10, 100, 2],
    ['writes large amounts without delay', 3, 20_000, 0, 3]
  ]
  for (const [name, lines, bytes, after, writes] of cases) {
    it(name, context => {
      context.mock.timers.enable({ apis: ['setTimeout'] })
      let count = 0
      const output = new BoundedOutput(1, 1_000_000, (_descriptor, written, callback) => {
        count += 1
        callback(null, written.length)
      }, 100)
      for (let line = 0; line < lines; line += 1) output.write(`${'x'.repeat(bytes)}\n`)
      context.mock.timers.tick(after)
      assert.equal(count, writes)
    })
  }

  it('writes immediately when it is flushed', async () => {
    let text = ''
    const output = new BoundedOutput(1, 1_000_000, (_descriptor, written, callback) => {
      text += written.toString('utf8')
      callback(null, written.length)
    }, 60_000)
    for (const line of ['a\n', 'b\n']) output.write(line)
    await output.flush(1_000)
    assert.equal(text, 'a\nb\n')
  })
})

describe('BoundedOutput on a descriptor of the process', () => {
  const program = (then: string): string => `
    import { BoundedOutput } from ${JSON.stringify(new URL('../../lib/observe/bounded-output.js', import.meta.url).href)}
    const output = new BoundedOutput(1, 1_000_000)
    for (let line = 0; line < 20_000; line += 1) output.write('a line of the log, with number ' + line + '\\n')
    ${then}`

  // A write to a pipe that waits for its reader blocks the whole process.
  it('does not block on a pipe that nobody reads', async () => {
    const child = spawn(process.execPath, ['--input-type=module', '-e', program('setTimeout(() => process.exit(output.takeDropped() === 0 ? 0 : 7), 50)')], { stdio: ['ignore', 'pipe', 'inherit'] })
    const timer = setTimeout(() => child.kill('SIGKILL'), 10_000)
    const [code] = await once(child, 'exit')
    clearTimeout(timer)
    assert.equal(code, 0)
  })

  const kinds: [name: string, stdout: 'pipe' | 'file'][] = [['a pipe', 'pipe'], ['a file', 'file']]
  for (const [name, kind] of kinds) {
    it(`writes all lines to ${name} before the end of a flush`, async () => {
      const directory = mkdtempSync(join(tmpdir(), 'drumdrift-output-'))
      const file = openSync(join(directory, 'log'), 'w')
      const child = spawn(process.execPath, ['--input-type=module', '-e', program('await output.flush(5_000)\nprocess.exit()')], { stdio: ['ignore', kind === 'pipe' ? 'pipe' : file, 'inherit'] })
      let text = ''
      child.stdout?.on('data', (bytes: Buffer) => { text += bytes.toString('utf8') })
      await once(child, 'close')
      closeSync(file)
      if (kind === 'file') text = readFileSync(join(directory, 'log'), 'utf8')
      rmSync(directory, { recursive: true })
      assert.equal(text.split('\n').length, 20_001)
    })
  }
})

describe('Log.request', () => {
  it('drops lines above its rate limit', () => {
    const reader = new Reader()
    const log = new Log('info', {}, new BoundedOutput(1, 10_000_000, reader.write))
    for (let count = 0; count < 3_000; count += 1) log.request('request-sent', { id: count })
    reader.readAll()
    const lines = reader.text.split('\n').length
    assert.ok(lines > 500 && lines < 1_500, `${lines} lines`)
  })
})
