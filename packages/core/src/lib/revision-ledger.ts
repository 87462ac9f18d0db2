/**
 * @license
 * Copyright 2026 the drumdrift contributors
 * SPDX-License-Identifier: BSD-3-Clause
 */
/**
 * Holds the newest accepted document of one published topic. Revisions are monotonic: a stale service, peer or process
 * that resumes late cannot revert the holder to an older revision. A document is accepted or rejected as a whole.
 */
import type { Checked } from './documents.js'
import type { DocumentFailure } from './failure.js'

/** A document as the platform publishes it. */
export interface Published {
  /** The identity of the service that assigns the revisions. */
  readonly source: string
  readonly revision: number
  readonly document: unknown
}

/** The result of offering a document. */
export type Acceptance =
  | { readonly type: 'adopted', readonly revision: number }
  | { readonly type: 'same' }
  | { readonly type: 'refused', readonly failure: DocumentFailure }

/** The ledger of one topic. */
export class RevisionLedger<Document> {
  private readonly _source: string
  private readonly _check: (input: unknown) => Checked<Document, DocumentFailure>
  private _published: Published | undefined
  private _document: Document | undefined
  private _refusedRevision = 0

  /**
   * @param source The identity of the only service whose revisions are accepted.
   * @param check Validates a raw document.
   */
  constructor (source: string, check: (input: unknown) => Checked<Document, DocumentFailure>) {
    this._source = source
    this._check = check
  }

  /** The revision in force; 0 if no document has been accepted. */
  get revision (): number { return this._published?.revision ?? 0 }

  /** The highest revision received, whether in force or refused as invalid; it need not be requested again. */
  get seenRevision (): number { return Math.max(this.revision, this._refusedRevision) }

  /** The validated document in force. */
  get document (): Document | undefined { return this._document }

  /** The document in force as published, for forwarding to peers. */
  get published (): Published | undefined { return this._published }

  /**
   * Adopts a document if it is valid and newer than the one in force.
   *
   * @example
   * const acceptance = ledger.offer({ source: 'surtaal', revision: 7, document })
   */
  offer (published: Published): Acceptance {
    if (published.source !== this._source) return refuse('wrong-source', `source is ${published.source}, expected ${this._source}`)
    if (!Number.isSafeInteger(published.revision) || published.revision < 1) return refuse('invalid', 'revision is not a positive integer')
    if (published.revision < this.revision) return refuse('older', `revision ${published.revision} is older than ${this.revision}`)
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
