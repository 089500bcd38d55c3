import type { AttemptRecord } from './records.js';

/** Committed attempts that have not ended, indexed by identifier and by endpoint. */
export class AttemptTable {
  private readonly attempts = new Map<string, AttemptRecord>();
  private readonly byEndpoint = new Map<string, Set<string>>();

  get size(): number {
    return this.attempts.size;
  }

  get(id: string): AttemptRecord | undefined {
    return this.attempts.get(id);
  }

  values(): IterableIterator<AttemptRecord> {
    return this.attempts.values();
  }

  /** Returns the identifiers of the attempts on an endpoint. */
  listByEndpoint(endpointId: string): ReadonlySet<string> {
    return this.byEndpoint.get(endpointId) ?? new Set();
  }

  add(attempt: AttemptRecord): void {
    this.attempts.set(attempt.id, attempt);
    const ids = this.byEndpoint.get(attempt.endpointId);
    if (ids) ids.add(attempt.id);
    else this.byEndpoint.set(attempt.endpointId, new Set([attempt.id]));
  }

  /** Removes an attempt and returns it, or undefined if it does not exist. */
  remove(id: string): AttemptRecord | undefined {
    const attempt = this.attempts.get(id);
    if (!attempt) return undefined;
    this.attempts.delete(id);
    const ids = this.byEndpoint.get(attempt.endpointId);
    ids?.delete(id);
    if (ids?.size === 0) this.byEndpoint.delete(attempt.endpointId);
    return attempt;
  }

  /** Removes the session from the attempts on an endpoint, whose end is then no crash. */
  clearSessions(endpointId: string): void {
    for (const id of this.listByEndpoint(endpointId)) {
      const { session, ...attempt } = this.attempts.get(id)!;
      // A snapshot may share the record, so it is replaced.
      if (session !== undefined) this.attempts.set(id, attempt);
    }
  }

  snapshot(): AttemptRecord[] {
    return [...this.attempts.values()];
  }

  restore(attempts: AttemptRecord[]): void {
    this.attempts.clear();
    this.byEndpoint.clear();
    for (const attempt of attempts) this.add(attempt);
  }
}
