import { writeFileSync } from 'node:fs';

import { cac } from 'cac';

import { DecisionRun } from './decisionRun.js';
import type { ClusterScale, DecisionCase, DecisionResult } from './decisionRun.js';
import { formatTable } from './markdownTable.js';
import { createScheduler, SCHEDULER_NAMES } from './schedulerFactory.js';
import type { SchedulerName } from './schedulerFactory.js';

const SCALES: readonly ClusterScale[] = [
  { workers: 30, teams: 6, running: 600 },
  { workers: 100, teams: 20, running: 2_600 },
  { workers: 400, teams: 50, running: 10_500 },
  { workers: 800, teams: 91, running: 21_000 },
  { workers: 1_600, teams: 91, running: 42_000 },
];

const LOADS = ['free', 'full'] as const;

/** Maximum duration of one measurement, in milliseconds. */
const BUDGET_MS = 3_000;

interface Measurement {
  scheduler: SchedulerName;
  options: DecisionCase;
  result: DecisionResult;
}

function measureAll(): Measurement[] {
  const measurements: Measurement[] = [];
  // The first run lets the runtime compile the code and is not reported.
  const warmUp = { ...SCALES[0]!, load: 'free', budgetMs: BUDGET_MS } as const;
  for (const name of SCHEDULER_NAMES) new DecisionRun(createScheduler(name, 1), warmUp).measure();
  for (const load of LOADS) {
    for (const scale of SCALES) {
      for (const scheduler of SCHEDULER_NAMES) {
        const options: DecisionCase = { ...scale, load, budgetMs: BUDGET_MS };
        const result = new DecisionRun(createScheduler(scheduler, 1), options).measure();
        measurements.push({ scheduler, options, result });
      }
    }
  }
  return measurements;
}

function formatMeasurements(measurements: readonly Measurement[]): string {
  const base = new Map<string, number>();
  const rows = measurements.map(({ scheduler, options, result }) => {
    const key = `${scheduler} ${options.load}`;
    if (!base.has(key)) base.set(key, result.costPerPlacement);
    const growth = result.costPerPlacement / base.get(key)!;
    return [
      options.load,
      options.workers,
      options.teams,
      options.running,
      scheduler,
      (result.p50 / 1000).toFixed(2),
      (result.p99 / 1000).toFixed(2),
      (result.max / 1000).toFixed(1),
      result.costPerPlacement,
      growth.toFixed(2),
      result.rate,
      result.placements,
    ];
  });
  const head = [
    'load',
    'workers',
    'teams',
    'running',
    'scheduler',
    'p50 ms',
    'p99 ms',
    'max ms',
    'µs per placement',
    'growth',
    'placements/s',
    'placements',
  ];
  return formatTable([head, ...rows]);
}

const { options: args } = cac('decisionBench')
  .option('--json <file>', 'Writes the figures')
  .parse();
const measurements = measureAll();
process.stdout.write(formatMeasurements(measurements));
if (args.json) writeFileSync(args.json, `${JSON.stringify(measurements, null, 2)}\n`);
