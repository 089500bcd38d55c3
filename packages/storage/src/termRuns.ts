import { lastOf } from './lastOf.js';

interface TermRun {
  /** First index with the term. */
  from: number;
  term: number;
}

/** Terms of the indexes of a log, one item for each change of term. */
export class TermRuns {
  private runs: TermRun[] = [];

  /** Last index of the log. */
  lastIndex = 0;

  /** Starts the log anew behind `index`. */
  reset(index: number, term: number): void {
    this.runs = [{ from: index, term }];
    this.lastIndex = index;
  }

  /** Sets the term of `index` and drops everything after it. */
  append(index: number, term: number): void {
    this.truncate(index - 1);
    const last = lastOf(this.runs);
    if (last?.term !== term) this.runs.push({ from: index, term });
    this.lastIndex = index;
  }

  /** Drops everything after `lastIndex`. */
  truncate(lastIndex: number): void {
    if (lastIndex >= this.lastIndex) return;
    while ((lastOf(this.runs)?.from ?? 0) > lastIndex) this.runs.pop();
    this.lastIndex = lastIndex;
  }

  /** Forgets the terms of the indexes before `index`. */
  forgetBefore(index: number): void {
    while (this.runs.length > 1 && this.runs[1]!.from <= index) this.runs.shift();
  }

  /** Returns the term of `index`, or undefined if it is not in the log. */
  termOf(index: number): number | undefined {
    if (index > this.lastIndex) return undefined;
    return lastOf(this.runs.filter((run) => run.from <= index))?.term;
  }
}
