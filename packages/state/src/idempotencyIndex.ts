/** Maps idempotency keys of teams to the first units that used them. */
export class IdempotencyIndex {
  private readonly unitsByKey = new Map<string, string>();

  /** Returns the unit that used the key first, if any. */
  find(team: string, key: string): string | undefined {
    return this.unitsByKey.get(IdempotencyIndex.composeKey(team, key));
  }

  add(team: string, key: string, unitId: string): void {
    this.unitsByKey.set(IdempotencyIndex.composeKey(team, key), unitId);
  }

  remove(team: string, key: string): void {
    this.unitsByKey.delete(IdempotencyIndex.composeKey(team, key));
  }

  clear(): void {
    this.unitsByKey.clear();
  }

  private static composeKey(team: string, key: string): string {
    // Team names contain no line feed, so different pairs never have the same composite key.
    return `${team}\n${key}`;
  }
}
