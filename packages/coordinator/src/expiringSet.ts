/** Set whose members expire after a fixed time. */
export class ExpiringSet {
  private readonly expiresAtMs = new Map<string, number>();
  private readonly lifetimeMs: number;

  constructor(lifetimeMs: number) {
    this.lifetimeMs = lifetimeMs;
  }

  add(member: string): void {
    this.prune();
    // Deleting first keeps the map ordered by expiry, on which `prune` relies.
    this.expiresAtMs.delete(member);
    this.expiresAtMs.set(member, performance.now() + this.lifetimeMs);
  }

  has(member: string): boolean {
    const expiresAtMs = this.expiresAtMs.get(member);
    return expiresAtMs !== undefined && performance.now() < expiresAtMs;
  }

  private prune(): void {
    const nowMs = performance.now();
    for (const [member, expiresAtMs] of this.expiresAtMs) {
      if (expiresAtMs > nowMs) break;
      this.expiresAtMs.delete(member);
    }
  }
}
