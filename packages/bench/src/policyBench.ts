import { writeFileSync } from 'node:fs';

import { cac } from 'cac';

import { formatTable } from './markdownTable.js';
import { WORK_MIXES } from './policyMixes.js';
import { PolicyRun } from './policyRun.js';
import type { FaultMode, PolicyResult } from './policyRun.js';
import { createScheduler, SCHEDULER_NAMES } from './schedulerFactory.js';
import type { SchedulerName } from './schedulerFactory.js';

const FAULT_MODES: readonly FaultMode[] = ['none', 'biased', 'random'];

interface Measurement {
  mix: string;
  faults: FaultMode;
  scheduler: SchedulerName;
  result: PolicyResult;
}

function measureAll(): Measurement[] {
  const measurements: Measurement[] = [];
  for (const mix of WORK_MIXES) {
    for (const faults of FAULT_MODES) {
      for (const scheduler of SCHEDULER_NAMES) {
        const result = new PolicyRun(createScheduler(scheduler, 2), mix, faults).run();
        measurements.push({ mix: mix.name, faults, scheduler, result });
      }
    }
  }
  return measurements;
}

function formatWaits(measurements: readonly Measurement[]): string {
  const rows = measurements.flatMap(({ mix, faults, scheduler, result }) =>
    result.waits.map(({ kind, placed, unplaced, p50, p99, othersP50, othersP99 }) => [
      mix,
      faults,
      kind,
      scheduler,
      (p50 / 1000).toFixed(1),
      (p99 / 1000).toFixed(1),
      (othersP50 / 1000).toFixed(1),
      (othersP99 / 1000).toFixed(1),
      placed,
      unplaced,
    ]),
  );
  const head = [
    'mix',
    'faults',
    'kind',
    'scheduler',
    'p50 s',
    'p99 s',
    'others p50 s',
    'others p99 s',
    'placed',
    'unplaced',
  ];
  return formatTable([head, ...rows]);
}

function formatTotals(measurements: readonly Measurement[]): string {
  const rows = measurements.map(({ mix, faults, scheduler, result }) => [
    mix,
    faults,
    scheduler,
    result.packing.toFixed(3),
    result.utilization.toFixed(3),
    result.shortfall.toFixed(3),
    result.overused.toFixed(4),
    result.preempted,
  ]);
  const head = [
    'mix',
    'faults',
    'scheduler',
    'packing',
    'utilization',
    'lack of share',
    'overused',
    'preempted',
  ];
  return formatTable([head, ...rows]);
}

const { options } = cac('policyBench').option('--json <file>', 'Writes the figures').parse();
const measurements = measureAll();
process.stdout.write(`${formatWaits(measurements)}\n${formatTotals(measurements)}`);
if (options.json) writeFileSync(options.json, `${JSON.stringify(measurements, null, 2)}\n`);
