import { encodeCanonicalJson, hashText } from './canonicalJson.js';

/** Hash that the first entry of a trail refers to. */
export const FIRST_PREVIOUS_HASH = '0'.repeat(64);

/** Index of the first entry of a trail. */
export const FIRST_AUDIT_INDEX = 1;

/** One submission of a release note, chained to the entry before it. */
export interface AuditEntry {
  /** Position in the trail, counted from 1 without gaps. */
  index: number;
  /** Number of the release note. */
  number: number;
  /** Identifier of the operator's key. */
  by: string;
  /** Wall-clock time in ISO 8601, stamped by the leader. */
  wallTime: string;
  accepted: boolean;
  /** Hash of the note's content. */
  contentHash: string;
  /** One line for people. */
  summary: string;
  /** Entries of the configuration that the note touches, before it; plain JSON data. */
  before: unknown;
  /** The same entries after the note; plain JSON data. */
  after: unknown;
  /** Hash of the entry before. */
  previousHash: string;
  /** SHA-256 over the canonical JSON of all other fields. */
  hash: string;
}

/** First place at which a trail is not intact. */
export interface AuditFault {
  index: number;
  message: string;
}

/** Returns the hash of an entry; a `hash` that it carries already is left out. */
export function hashAuditEntry(entry: Omit<AuditEntry, 'hash'> & { hash?: string }): string {
  const { hash, ...content } = entry;
  return hashText(encodeCanonicalJson(content));
}

function checkEntry(entry: AuditEntry, previous: AuditEntry | undefined): string | undefined {
  if (previous && entry.index !== previous.index + 1) {
    return `expected index ${previous.index + 1}, found ${entry.index}`;
  }
  if (previous && entry.previousHash !== previous.hash) {
    return 'previousHash differs from the hash of the entry before';
  }
  if (entry.index === FIRST_AUDIT_INDEX && entry.previousHash !== FIRST_PREVIOUS_HASH) {
    return 'the first entry refers to an entry before it';
  }
  return entry.hash === hashAuditEntry(entry) ? undefined : 'hash differs from the content';
}

/**
 * Checks the hash chain of consecutive entries in ascending order. The trail is bounded, so it
 * may begin with an entry whose predecessor is not kept.
 *
 * @returns the first fault, or `undefined` if the trail is intact.
 */
export function verifyAuditTrail(entries: readonly AuditEntry[]): AuditFault | undefined {
  let previous: AuditEntry | undefined;
  for (const entry of entries) {
    const message = checkEntry(entry, previous);
    if (message !== undefined) return { index: entry.index, message };
    previous = entry;
  }
  return undefined;
}
