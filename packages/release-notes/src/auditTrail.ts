import { encodeCanonicalJson, hashText } from './canonicalJson.js';

/** `previousHash` of the first entry of a trail. */
export const FIRST_PREVIOUS_HASH = '0'.repeat(64);

/** Index of the first entry of a trail. */
export const FIRST_AUDIT_INDEX = 1;

/**
 * One submission of a release note, or change of an evacuation, linked to the previous entry by its
 * hash.
 */
export interface AuditEntry {
  /** Position in the trail; starts at 1 and has no gaps. */
  index: number;
  /** Number of the release note; for an evacuation, that of the latest accepted one. */
  number: number;
  /** Identifier of the operator's key. */
  by: string;
  /** Wall-clock time of the leader in ISO 8601. */
  wallTime: string;
  accepted: boolean;
  /** Hash of the note's content; empty for an evacuation. */
  contentHash: string;
  /** Human-readable summary in one line. */
  summary: string;
  /** Configuration entries affected by the note, before it was applied; plain JSON data. */
  before: unknown;
  /** The same entries after the note was applied; plain JSON data. */
  after: unknown;
  /** Hash of the previous entry. */
  previousHash: string;
  /** SHA-256 over the canonical JSON of all other fields. */
  hash: string;
}

/** First inconsistency found in a trail. */
export interface AuditFault {
  index: number;
  message: string;
}

/** Returns the hash of an entry. An existing `hash` field is not part of the hashed content. */
export function hashAuditEntry(entry: Omit<AuditEntry, 'hash'> & { hash?: string }): string {
  const { hash, ...content } = entry;
  return hashText(encodeCanonicalJson(content));
}

function checkEntry(entry: AuditEntry, previous: AuditEntry | undefined): string | undefined {
  if (previous && entry.index !== previous.index + 1) {
    return `expected index ${previous.index + 1}, found ${entry.index}`;
  }
  if (previous && entry.previousHash !== previous.hash) {
    return 'previousHash does not match the hash of the previous entry';
  }
  if (entry.index === FIRST_AUDIT_INDEX && entry.previousHash !== FIRST_PREVIOUS_HASH) {
    return 'previousHash of the first entry is not all zeros';
  }
  return entry.hash === hashAuditEntry(entry) ? undefined : 'hash does not match the content';
}

/**
 * Verifies the hash chain of consecutive entries in ascending order. The length of the trail is
 * bounded, so the predecessor of the first entry may have been discarded.
 *
 * @returns the first inconsistency, or `undefined` if the trail is intact.
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
