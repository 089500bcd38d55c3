import { isDeepStrictEqual } from 'node:util';

import type { LogEntry } from '@lagoongap/storage/logStore.js';
import type { Membership } from '@lagoongap/consensus/replicatedLog.js';

import { RuleViolation } from './ruleViolation.js';
import type { SimulatedDisk } from './simulatedDisk.js';

interface KnownEntry {
  type: string;
  data: unknown;
  previousTerm: number;
}

/** State of a state machine that depends on every entry and their order. */
export interface Digest {
  index: number;
  value: number;
}

/** Factor that keeps terms and indexes apart in a key. */
const KEY_FACTOR = 1_000_000;

/** Modulus and factor of the digest; any change of an entry or of the order changes it. */
const DIGEST_MODULUS = 2_147_483_647;
const DIGEST_FACTOR = 31;

function nextDigest(value: number, { term, data }: LogEntry): number {
  const number = typeof data === 'number' ? data : 0;
  return (value * DIGEST_FACTOR + term * KEY_FACTOR + number) % DIGEST_MODULUS;
}

/** Reads the history of a simulated cluster and throws at the first broken rule. */
export class HistoryChecker {
  /** Committed entries by index; index 0 is unused. */
  readonly committed: (LogEntry | undefined)[] = [undefined];
  committedMembership: Membership = { voters: [], learners: [] };
  /** Replica ids whose disk is lost. */
  readonly lostIds = new Set<string>();
  private readonly digests = [0];
  /** By index, a term in which the entry was known to be committed. */
  private readonly committedInTerm = [0];
  private readonly leaders = new Map<number, string>();
  private readonly entries = new Map<number, KnownEntry>();

  /**
   * Checks an election, at which the log of the winner is durable. It must hold what was
   * committed in earlier terms; a paused candidate may win a term that has passed.
   */
  elected(replicaId: string, term: number, disk: SimulatedDisk): void {
    const other = this.leaders.get(term);
    if (other !== undefined && other !== replicaId) {
      throw new RuleViolation('one leader a term', `${other} and ${replicaId} lead term ${term}`);
    }
    this.leaders.set(term, replicaId);
    const firstIndex = disk.snapshot?.index ?? 1;
    for (let index = firstIndex; index < this.committed.length; index += 1) {
      if (this.committedInTerm[index]! >= term) continue;
      if (disk.termAt(index) !== this.committed[index]!.term) {
        const details = `leader ${replicaId} of term ${term} lacks entry ${index}`;
        throw new RuleViolation('committed entries stay', details);
      }
    }
  }

  /** Checks written entries: index and term determine an entry and everything before it. */
  written(entries: readonly LogEntry[], disk: SimulatedDisk): void {
    for (const { index, term, type, data } of entries) {
      const previousTerm = index === 1 ? 0 : disk.termAt(index - 1);
      if (previousTerm === undefined) continue;
      const key = term * KEY_FACTOR + index;
      const known = this.entries.get(key);
      if (known === undefined) this.entries.set(key, { type, data, previousTerm });
      else if (known.data !== data || known.type !== type || known.previousTerm !== previousTerm) {
        throw new RuleViolation('log matching', `entry ${index} of term ${term} differs`);
      }
    }
  }

  /**
   * Checks an applied entry and returns the next digest.
   *
   * @param currentTerm - Term of the replica that applies it.
   */
  applied(replicaId: string, currentTerm: number, digest: Digest, entry: LogEntry): Digest {
    const { index, term, data } = entry;
    if (index !== digest.index + 1) {
      const details = `${replicaId} applies ${index} after ${digest.index}`;
      throw new RuleViolation('same order everywhere', details);
    }
    const known = this.committed[index];
    if (known === undefined) this.addCommitted(entry, currentTerm);
    else if (known.term !== term || known.data !== data) {
      const details = `${replicaId} applies another entry ${index}`;
      throw new RuleViolation('committed entries stay', details);
    }
    return { index, value: nextDigest(digest.value, entry) };
  }

  /** Checks a state that was installed or loaded. */
  restored(replicaId: string, { index, value }: Digest): void {
    if (this.digests[index] === value) return;
    throw new RuleViolation('same order everywhere', `${replicaId} has another state at ${index}`);
  }

  /** Checks the leaders that are valid at one moment of true time. */
  validLeaders(replicaIds: readonly string[], nowMs: number): void {
    if (replicaIds.length < 2) return;
    const details = `${replicaIds.join(' and ')} at ${nowMs.toFixed(3)} ms`;
    throw new RuleViolation('one valid leader', details);
  }

  /** Checks that a message does not come from a replica whose disk is lost. */
  sent(replicaId: string): void {
    if (!this.lostIds.has(replicaId)) return;
    throw new RuleViolation('lost replica is silent', `${replicaId} sends a message`);
  }

  /** Tells whether the membership that was committed last is the given one. */
  isCommittedMembership(membership: Membership): boolean {
    return isDeepStrictEqual(membership, this.committedMembership);
  }

  private addCommitted(entry: LogEntry, currentTerm: number): void {
    this.committed.push(entry);
    this.committedInTerm.push(currentTerm);
    this.digests.push(nextDigest(this.digests[this.digests.length - 1]!, entry));
    if (entry.type === 'membership') this.committedMembership = entry.data as Membership;
  }
}
