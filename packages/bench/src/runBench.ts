import { writeFileSync } from 'node:fs';
import { cpus, loadavg, totalmem } from 'node:os';

import { cac } from 'cac';

import type { BenchReport, BenchRun, BenchTable } from './benchReport.js';
import { measureCell } from './cellBench.js';
import { measureCost } from './costBench.js';
import { formatTable } from './markdownTable.js';
import { measureRestart } from './restartBench.js';
import { measureScript } from './scriptBench.js';

type Measure = () => Promise<{ tables: BenchTable[]; figures: Record<string, unknown> }>;

const MIB = 1024 * 1024;

/** All measurements in the order in which they run. */
const MEASUREMENTS: Record<string, Measure> = {
  decisions: () => measureScript('decisionBench.js', 'Cost of decisions', [], true),
  policies: () => measureScript('policyBench.js', 'Placement policies', [], true),
  schedules: () => measureScript('scheduleBench.js', 'Schedules', [], true),
  workflow: () => measureScript('workflowBench.js', 'Workflow leader', [], true),
  health: () => measureScript('runHealthBench.js', 'Health policies', ['--seconds', '120'], true),
  storage: () =>
    measureScript('storageBench.js', 'Log store', ['--records', '200000', '--batch', '10'], false),
  cell: measureCell,
  cost: measureCost,
  restart: () => measureRestart(),
};

interface BenchOptions {
  json?: string;
  only?: string;
  label?: string;
}

async function runMeasurement(name: string): Promise<BenchReport> {
  const startMs = performance.now();
  const { tables, figures } = await MEASUREMENTS[name]!();
  const seconds = (performance.now() - startMs) / 1000;
  for (const { title, rows } of tables) {
    process.stdout.write(`### ${title}\n\n${formatTable(rows)}\n`);
  }
  process.stderr.write(`${name}: ${seconds.toFixed(0)} s\n`);
  return { name, command: `npm run bench -- --only ${name}`, seconds, tables, figures };
}

async function runAll(opts: BenchOptions): Promise<void> {
  const names = opts.only === undefined ? Object.keys(MEASUREMENTS) : [opts.only];
  const unknown = names.find((name) => MEASUREMENTS[name] === undefined);
  if (unknown !== undefined) {
    throw new Error(
      `unknown measurement ${unknown}; available: ${Object.keys(MEASUREMENTS).join(', ')}`,
    );
  }
  const run: BenchRun = {
    date: new Date().toISOString(),
    machine: {
      cores: cpus().length,
      model: cpus()[0]!.model,
      memoryMib: Math.round(totalmem() / MIB),
      node: process.version,
    },
    loadBefore: loadavg()[0]!,
    loadAfter: 0,
    ...(opts.label !== undefined && { label: opts.label }),
    reports: [],
    failed: [],
  };
  for (const name of names) {
    try {
      run.reports.push(await runMeasurement(name));
    } catch (err) {
      // The other measurements are still useful; the exit code reports that one has failed.
      const reason = (err as Error).message;
      run.failed.push({ name, reason });
      process.stderr.write(`${name} failed: ${reason}\n`);
      process.exitCode = 1;
    }
  }
  [run.loadAfter] = loadavg() as [number];
  if (opts.json !== undefined) writeFileSync(opts.json, `${JSON.stringify(run, null, 2)}\n`);
}

const cli = cac('bench');
cli
  .command('', 'Runs the measurements one after the other')
  .option('--json <file>', 'File that the figures are written to')
  .option('--only <name>', `One measurement: ${Object.keys(MEASUREMENTS).join(', ')}`)
  .option('--label <text>', 'Remark on the run, for instance that the machine was busy')
  .action((opts: BenchOptions) => runAll(opts));
cli.help();
cli.parse(process.argv, { run: false });
await cli.runMatchedCommand();
process.exit();
