/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Divides the time of one process among request bodies that cost much to read. A body in chunks of one byte takes some hundred times the
 * work of the same bytes in one chunk; some hundreds of them at once would leave no time for other requests. Only a few are read at a time,
 * in turn; all other bodies are read at once.
 */

/** Pauses and resumes the reading of one body. */
export interface PausableReader {
  pause (): void
  resume (): void
}

/** The reading of one body. */
export interface ReadTurn {
  /** Records that a piece of the body was read. */
  read (bytes: number): void
  /** Ends the turn, since the body is read or given up. */
  end (): void
}

/** A body counts as costly from this number of pieces on, if they are smaller on average than this, in bytes. */
const MIN_COSTLY_PIECES = 256
const SMALL_PIECE_BYTES = 256
/** The number of pieces after which a costly body gives its turn to the next one: the work of a few milliseconds. */
const PIECES_PER_TURN = 2_048

interface CostlyReader extends PausableReader {
  /** Pieces read since its turn began. */
  pieces: number
}

/** The turns of all bodies that one process reads. */
export class ReadTurns {
  private readonly _active = new Set<CostlyReader>()
  private readonly _paused = new Set<CostlyReader>()

  /**
   * @param _concurrent How many costly bodies are read at a time.
   */
  constructor (private readonly _concurrent: number) {}

  /**
   * Registers a body that is read from now on.
   *
   * @example
   * const turn = turns.begin({ pause: () => socket.pause(), resume: () => socket.resume() })
   */
  begin (reader: PausableReader): ReadTurn {
    const costly: CostlyReader = { pause: () => reader.pause(), resume: () => reader.resume(), pieces: 0 }
    let pieces = 0
    let bytes = 0
    return {
      read: length => {
        pieces += 1
        bytes += length
        if (pieces >= MIN_COSTLY_PIECES && bytes < pieces * SMALL_PIECE_BYTES) this._work(costly)
      },
      end: () => this._end(costly)
    }
  }

  private _work (reader: CostlyReader): void {
    reader.pieces += 1
    if (this._paused.has(reader)) return
    if (!this._active.has(reader)) this._enter(reader)
    else if (reader.pieces >= PIECES_PER_TURN) this._yield(reader)
  }

  private _enter (reader: CostlyReader): void {
    if (this._active.size < this._concurrent) this._active.add(reader)
    else this._pause(reader)
  }

  private _yield (reader: CostlyReader): void {
    reader.pieces = 0
    if (this._paused.size === 0) return
    this._active.delete(reader)
    this._resumeNext()
    this._pause(reader)
  }

  private _pause (reader: CostlyReader): void {
    this._paused.add(reader)
    reader.pause()
  }

  private _resumeNext (): void {
    const [next] = this._paused
    if (next === undefined) return
    this._paused.delete(next)
    this._active.add(next)
    next.pieces = 0
    next.resume()
  }

  private _end (reader: CostlyReader): void {
    if (this._paused.delete(reader)) reader.resume()
    if (this._active.delete(reader)) this._resumeNext()
  }
}
