import { lastOf } from './lastOf.js';

interface TermRun {
  /** First index of the run. */
  from: number;
  term: number;
}

/** Maps log indexes to terms; stores one run per change of term. */
export class TermIndex {
  private runs: TermRun[] = [];

  /** Last index of the log. */
  lastIndex = 0;

  /** Clears the index and restarts it after `index`. */
  reset(index: number, term: number): void {
    this.runs = [{ from: index, term }];
    this.lastIndex = index;
  }

  /** Sets the term of `index` and removes everything after it. */
  append(index: number, term: number): void {
    this.truncate(index - 1);
    const last = lastOf(this.runs);
    if (last?.term !== term) this.runs.push({ from: index, term });
    this.lastIndex = index;
  }

  /** Removes everything after `lastIndex`. */
  truncate(lastIndex: number): void {
    if (lastIndex >= this.lastIndex) return;
    while ((lastOf(this.runs)?.from ?? 0) > lastIndex) this.runs.pop();
    this.lastIndex = lastIndex;
  }

  /** Drops the terms of indexes before `index`. */
  dropBefore(index: number): void {
    while (this.runs.length > 1 && this.runs[1]!.from <= index) this.runs.shift();
  }

  /** Returns the term at `index`, or undefined if the index is not in the log. */
  termAt(index: number): number | undefined {
    if (index > this.lastIndex) return undefined;
    return lastOf(this.runs.filter((run) => run.from <= index))?.term;
  }
}
