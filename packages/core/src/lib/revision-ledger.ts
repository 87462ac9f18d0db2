/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Holds the newest accepted document of one published topic. Revisions only go up: whatever a stale service, a peer
 * or a late-waking process says, nothing takes the holder back. A document is refused whole or taken whole.
 */
import type { Checked } from './documents.js'
import type { DocumentFailure } from './failure.js'

/** A document as the platform publishes it. */
export interface Published {
  /** The identity of the service that numbers the revisions. */
  readonly source: string
  readonly revision: number
  readonly document: unknown
}

/** What became of an offered document. */
export type Acceptance =
  | { readonly type: 'adopted', readonly revision: number }
  | { readonly type: 'same' }
  | { readonly type: 'refused', readonly failure: DocumentFailure }

/** A ledger for one topic. */
export class RevisionLedger<Document> {
  private readonly _source: string
  private readonly _check: (input: unknown) => Checked<Document, DocumentFailure>
  private _published: Published | undefined
  private _document: Document | undefined
  private _refusedRevision = 0

  /**
   * @param source The only service identity whose revisions count.
   * @param check Turns the raw document into a checked one, or says why not.
   */
  constructor (source: string, check: (input: unknown) => Checked<Document, DocumentFailure>) {
    this._source = source
    this._check = check
  }

  /** The revision in force; 0 before the first. */
  get revision (): number { return this._published?.revision ?? 0 }

  /** The highest revision seen, in force or refused: asking for it again is pointless. */
  get seenRevision (): number { return Math.max(this.revision, this._refusedRevision) }

  /** The checked document in force. */
  get document (): Document | undefined { return this._document }

  /** The document in force as it was published, to pass on. */
  get published (): Published | undefined { return this._published }

  /**
   * Offers a document.
   *
   * @example
   * const acceptance = ledger.offer({ source: 'surtaal', revision: 7, document })
   */
  offer (published: Published): Acceptance {
    if (published.source !== this._source) return refuse('wrong-source', `source ${published.source} is not ${this._source}`)
    if (!Number.isSafeInteger(published.revision) || published.revision < 1) return refuse('invalid', 'revision is not a positive integer')
    if (published.revision < this.revision) return refuse('older', `revision ${published.revision} is below ${this.revision}`)
    if (published.revision === this.revision) return { type: 'same' }
    const checked = this._check(published.document)
    if ('failure' in checked) {
      this._refusedRevision = Math.max(this._refusedRevision, published.revision)
      return { type: 'refused', failure: checked.failure }
    }
    this._published = published
    this._document = checked.value
    return { type: 'adopted', revision: published.revision }
  }
}

function refuse (reason: DocumentFailure['reason'], detail: string): Acceptance {
  return { type: 'refused', failure: { type: 'document-failure', reason, detail } }
}
