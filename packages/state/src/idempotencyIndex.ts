/** Maps idempotency keys of teams to the work that used them first. */
export class IdempotencyIndex {
  private readonly units = new Map<string, string>();

  /** Returns the unit that used the key, if any. */
  find(team: string, key: string): string | undefined {
    return this.units.get(IdempotencyIndex.join(team, key));
  }

  add(team: string, key: string, unitId: string): void {
    this.units.set(IdempotencyIndex.join(team, key), unitId);
  }

  remove(team: string, key: string): void {
    this.units.delete(IdempotencyIndex.join(team, key));
  }

  clear(): void {
    this.units.clear();
  }

  private static join(team: string, key: string): string {
    // Team names contain no line feed, so that two pairs never give the same text.
    return `${team}\n${key}`;
  }
}
