import { isDeepStrictEqual } from 'node:util';

import type { LogEntry } from '@lagoongap/storage/logStore.js';
import type { Membership } from '@lagoongap/consensus/replicatedLog.js';

import { RuleViolation } from './ruleViolation.js';
import type { SimulatedDisk } from './simulatedDisk.js';

interface WrittenEntry {
  type: string;
  data: unknown;
  previousTerm: number;
}

/** State of a state machine: a hash of all applied entries in their order. */
export interface Digest {
  index: number;
  value: number;
}

/** Factor that separates the term from the other part in a combined number. */
const TERM_FACTOR = 1_000_000;

/**
 * Modulus and multiplier of the digest; any change of an entry or of the order changes the digest.
 */
const DIGEST_MODULUS = 2_147_483_647;
const DIGEST_FACTOR = 31;

function nextDigest(value: number, { term, data }: LogEntry): number {
  const number = typeof data === 'number' ? data : 0;
  return (value * DIGEST_FACTOR + term * TERM_FACTOR + number) % DIGEST_MODULUS;
}

/** Checks the history of a simulated cluster and throws RuleViolation at the first violation. */
export class HistoryChecker {
  /** Committed entries by index; index 0 is unused. */
  readonly committed: (LogEntry | undefined)[] = [undefined];
  committedMembership: Membership = { voters: [], learners: [] };
  /** Ids of replicas whose disk was lost. */
  readonly lostIds = new Set<string>();
  private readonly digests = [0];
  /** Term of the replica that first applied the entry, by index. */
  private readonly committedInTerm = [0];
  private readonly leaders = new Map<number, string>();
  private readonly entries = new Map<number, WrittenEntry>();

  /**
   * Checks an election, at which the log of the winner is durable. The log must contain everything
   * that was committed in earlier terms; a paused candidate may win an outdated term.
   */
  checkElection(replicaId: string, term: number, disk: SimulatedDisk): void {
    const other = this.leaders.get(term);
    if (other !== undefined && other !== replicaId) {
      throw new RuleViolation('election safety', `${other} and ${replicaId} lead term ${term}`);
    }
    this.leaders.set(term, replicaId);
    const firstIndex = disk.snapshot?.index ?? 1;
    for (let index = firstIndex; index < this.committed.length; index += 1) {
      if (this.committedInTerm[index]! >= term) continue;
      if (disk.termAt(index) !== this.committed[index]!.term) {
        const details = `leader ${replicaId} of term ${term} is missing committed entry ${index}`;
        throw new RuleViolation('committed entries persist', details);
      }
    }
  }

  /** Checks written entries: index and term identify an entry and all entries before it. */
  checkWrite(entries: readonly LogEntry[], disk: SimulatedDisk): void {
    for (const { index, term, type, data } of entries) {
      const previousTerm = index === 1 ? 0 : disk.termAt(index - 1);
      if (previousTerm === undefined) continue;
      const key = term * TERM_FACTOR + index;
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
   * @param currentTerm - Current term of the replica that applies the entry.
   */
  checkApplied(replicaId: string, currentTerm: number, digest: Digest, entry: LogEntry): Digest {
    const { index, term, data } = entry;
    if (index !== digest.index + 1) {
      const details = `${replicaId} applies ${index} after ${digest.index}`;
      throw new RuleViolation('state machine safety', details);
    }
    const known = this.committed[index];
    if (known === undefined) this.addCommitted(entry, currentTerm);
    else if (known.term !== term || known.data !== data) {
      const details = `${replicaId} applies a different entry ${index}`;
      throw new RuleViolation('committed entries persist', details);
    }
    return { index, value: nextDigest(digest.value, entry) };
  }

  /** Checks a state that was restored from a snapshot. */
  checkRestored(replicaId: string, { index, value }: Digest): void {
    if (this.digests[index] === value) return;
    throw new RuleViolation(
      'state machine safety',
      `${replicaId} has a different state at ${index}`,
    );
  }

  /** Checks that at most one leader is valid at a moment of simulated time. */
  checkValidLeaders(replicaIds: readonly string[], nowMs: number): void {
    if (replicaIds.length < 2) return;
    const details = `${replicaIds.join(' and ')} at ${nowMs.toFixed(3)} ms`;
    throw new RuleViolation('one valid leader', details);
  }

  /** Checks that a sender is not a replica whose disk was lost. */
  checkSender(replicaId: string): void {
    if (!this.lostIds.has(replicaId)) return;
    throw new RuleViolation('lost replica sends nothing', `${replicaId} sends a message`);
  }

  /** Returns whether a membership is the last committed one. */
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
