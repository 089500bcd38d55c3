/**
 * Measures the processor time that the leader of the workflow layer spends per start, without
 * network and disk, at the size of a large deployment:
 *
 *   npm run build && node packages/bench/lib/workflowBench.js [--json <file>]
 */
import { writeFileSync } from 'node:fs';

import { cac } from 'cac';

import { formatTable } from './markdownTable.js';
import { VirtualClock } from './virtualClock.js';
import { WorkflowRun, type WorkflowResult, type WorkflowScale } from './workflowRun.js';

const SCALE: WorkflowScale = {
  endpoints: 350,
  organisations: 20,
  advisorClients: 36,
  jobsPerSecond: 45,
  services: 13,
};

function formatResults(results: readonly WorkflowResult[]): string {
  const rows = results.map((result) => [
    result.phase,
    result.starts,
    result.ends,
    result.calls,
    result.inspections,
    result.heartbeats,
    result.logLines,
    result.cpuMs,
    result.cpuMicrosPerStart,
    result.cores.toFixed(3),
    result.longestBlockMs.toFixed(1),
    result.callP99Ms.toFixed(0),
  ]);
  const head = [
    'phase',
    'starts',
    'ends',
    'calls',
    'inspections',
    'heartbeats',
    'log lines',
    'cpu ms',
    'µs per start',
    'cores',
    'longest block ms',
    'call p99 ms',
  ];
  return formatTable([head, ...rows]);
}

const { options: args } = cac('workflowBench')
  .option('--json <file>', 'Writes the figures')
  .parse();
using clock = new VirtualClock();
const results = await new WorkflowRun(SCALE, clock).measure();
process.stdout.write(formatResults(results));
if (args.json) writeFileSync(args.json, `${JSON.stringify(results, null, 2)}\n`);
process.exit();
