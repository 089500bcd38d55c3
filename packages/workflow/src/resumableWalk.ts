/** Visits the items of a list that is too long for one call; the next call resumes. */
export class ResumableWalk {
  private resumeIndex = 0;

  /**
   * Visits items, at least one, until a time is reached.
   *
   * @param endMs - Monotonic time.
   * @returns Whether this call has visited all items.
   */
  visit<T>(items: readonly T[], visitItem: (item: T) => void, endMs: number): boolean {
    const first = this.resumeIndex < items.length ? this.resumeIndex : 0;
    for (let i = first; i < items.length; i += 1) {
      visitItem(items[i]!);
      if (performance.now() > endMs && i + 1 < items.length) {
        this.resumeIndex = i + 1;
        return false;
      }
    }
    this.resumeIndex = 0;
    // A call that resumed midway has not visited the items before its first one.
    return first === 0;
  }
}
