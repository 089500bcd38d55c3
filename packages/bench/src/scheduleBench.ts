/**
 * Measures what one job with many due occurrences costs the leader and the callers beside it, and
 * the leader that takes it over from a snapshot:
 *
 *   npm run build && node packages/bench/lib/scheduleBench.js [--occurrences <n>] [--json <file>]
 */
import { writeFileSync } from 'node:fs';

import { cac } from 'cac';

import { formatTable } from './markdownTable.js';
import { VirtualClock } from './virtualClock.js';
import { WorkflowRun, type WorkflowScale } from './workflowRun.js';

const SCALE: WorkflowScale = {
  endpoints: 33,
  organisations: 6,
  advisorClients: 9,
  jobsPerSecond: 12,
  services: 1,
};

const OCCURRENCES = [10, 10_000, 525_600, 1_000_000];
const MIB = 1024 * 1024;

const { options: args } = cac('scheduleBench')
  .option('--occurrences <n>', 'Measures one size only')
  .option('--json <file>', 'Writes the figures')
  .parse();
using clock = new VirtualClock();
const rows: (string | number)[][] = [];
const figures: Record<string, unknown>[] = [];
for (const occurrences of args.occurrences ? [Number(args.occurrences)] : OCCURRENCES) {
  await using run = new WorkflowRun(SCALE, clock);
  for (const result of await run.measureSchedule(occurrences)) {
    const heapMib = process.memoryUsage().heapUsed / MIB;
    const { phase, starts, calls, longestBlockMs, callP99Ms, cores } = result;
    figures.push({ occurrences, heapMib, ...result });
    rows.push([
      occurrences,
      phase,
      starts,
      calls,
      longestBlockMs.toFixed(1),
      callP99Ms.toFixed(0),
      cores.toFixed(3),
      heapMib.toFixed(0),
    ]);
  }
}
const head = ['due', 'phase', 'starts', 'calls', 'longest block ms', 'call p99 ms', 'cores'];
process.stdout.write(formatTable([[...head, 'heap MiB'], ...rows]));
if (args.json) writeFileSync(args.json, `${JSON.stringify(figures, null, 2)}\n`);
process.exit();
