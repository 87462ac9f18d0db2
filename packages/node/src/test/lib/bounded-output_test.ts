/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { BoundedOutput, type DescriptorWrite } from '../../lib/observe/bounded-output.js'
import { Log } from '../../lib/observe/log.js'

/** A reader that takes bytes only when it is told to. */
class Reader {
  text = ''
  private _pending: (() => void) | undefined

  /**
   * @param _most Bytes that one write takes.
   */
  constructor (private readonly _most = Infinity) {}

  readonly write: DescriptorWrite = (_descriptor, bytes, callback) => {
    this._pending = () => {
      const taken = bytes.subarray(0, this._most)
      this.text += taken.toString('utf8')
      callback(null, taken.length)
    }
  }

  /** Takes what is offered, until nothing is. */
  readAll (): void {
    while (this._pending !== undefined) {
      const take = this._pending
      this._pending = undefined
      take()
    }
  }
}

describe('BoundedOutput', () => {
  const cases: [name: string, limit: number, most: number, lines: string[], text: string, dropped: number][] = [
    ['writes lines in order', 100, Infinity, ['a\n', 'b\n', 'c\n'], 'a\nb\nc\n', 0],
    ['goes on after a short write', 100, 1, ['abc\n', 'de\n'], 'abc\nde\n', 0],
    ['drops what a stalled reader leaves no room for', 4, Infinity, ['aa\n', 'bb\n', 'cc\n'], 'aa\n', 2]
  ]
  for (const [name, limit, most, lines, text, dropped] of cases) {
    it(name, () => {
      const reader = new Reader(most)
      const output = new BoundedOutput(1, limit, reader.write)
      for (const line of lines) output.write(line)
      reader.readAll()
      assert.deepEqual([reader.text, output.takeDropped()], [text, dropped])
    })
  }

  it('takes lines again once the reader has read', () => {
    const reader = new Reader()
    const output = new BoundedOutput(1, 4, reader.write)
    output.write('aa\n')
    output.write('bb\n')
    reader.readAll()
    output.write('cc\n')
    reader.readAll()
    assert.equal(reader.text, 'aa\ncc\n')
  })

  it('never waits for a reader that has stalled', async () => {
    const output = new BoundedOutput(1, 1_000, () => {})
    const log = new Log('info', {}, output)
    for (let count = 0; count < 5_000; count += 1) log.request('request-sent', { id: count })
    await output.flush(10)
    assert.ok(output.takeDropped() > 0)
  })
})

/*
 * An entry at 8 requests a second wrote some 30 lines a second, each with a write of its own: 132 of 1,040 ms that its main thread
 * was busy went into starting them, and another thread was woken for each.
 */
describe('BoundedOutput with a pause', () => {
  const cases: [name: string, lines: number, bytes: number, after: number, writes: number][] = [
    ['writes the first line at once', 1, 10, 0, 1],
    ['keeps those that follow', 5, 10, 0, 1],
    ['writes those together after the pause', 5, 10, 100, 2],
    ['does not wait with much', 3, 20_000, 0, 3]
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

  it('waits for nothing when it is flushed', async () => {
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

describe('Log.request', () => {
  it('leaves lines out beyond its rate', () => {
    const reader = new Reader()
    const log = new Log('info', {}, new BoundedOutput(1, 10_000_000, reader.write))
    for (let count = 0; count < 3_000; count += 1) log.request('request-sent', { id: count })
    reader.readAll()
    const lines = reader.text.split('\n').length
    assert.ok(lines > 500 && lines < 1_500, `${lines} lines`)
  })
})
