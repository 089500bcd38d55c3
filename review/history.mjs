// The rules below are those that the project turns off for its own TypeScript.
/* eslint-disable import-x/prefer-default-export */
/* eslint-disable no-continue, no-restricted-syntax */
/** What all runners of a script did: starts and ends of runs, in order. */
export class History {
  constructor(record) {
    this.record = record;
    this.runs = [];
  }

  begin(runner, task, run) {
    const entry = {
      runner,
      task,
      run,
      startMs: performance.now(),
      endMs: undefined,
      how: undefined,
    };
    this.runs.push(entry);
    this.record.write(`run ${task}:${run} begins on ${runner}`);
    return entry;
  }

  end(entry, how) {
    Object.assign(entry, { endMs: performance.now(), how });
    this.record.write(`run ${entry.task}:${entry.run} ends on ${entry.runner}: ${how}`);
  }

  /** Returns the runs of a submission. */
  of(id) {
    return this.runs.filter(({ task }) => task.startsWith(`${id}.`));
  }

  /** Returns the pairs of runs of one task that were at work at the same time. */
  findOverlaps() {
    const overlaps = [];
    this.runs.forEach((a, i) => {
      for (const b of this.runs.slice(i + 1)) {
        if (a.task !== b.task) continue;
        const fromMs = Math.max(a.startMs, b.startMs);
        const toMs = Math.min(a.endMs ?? Infinity, b.endMs ?? Infinity, performance.now());
        if (toMs > fromMs) overlaps.push({ a, b, ms: Math.round(toMs - fromMs) });
      }
    });
    return overlaps;
  }
}
