import { writeFileSync } from 'node:fs';

import { cac } from 'cac';

import { HEALTH_POLICY_NAMES, measureHealth, type HealthBenchResult } from './healthBench.js';

interface CommandOptions {
  json?: string;
  seed: number;
  seconds: number;
  load: number;
  bad: number;
  wait?: boolean;
}

const FAILING_COUNTS = [0, 1, 3, 10];

function formatShare(share: number): string {
  return `${(share * 100).toFixed(2)}%`;
}

function formatTable(results: HealthBenchResult[]): string {
  const lines = [
    '| failing | policy | success | retries | to failing | wait p50 | wait p99 | sound demoted |',
    '| ---: | --- | ---: | ---: | ---: | ---: | ---: | ---: |',
  ];
  for (const result of results) {
    const { failing, policy, successRate, retries, failingShare } = result;
    const shares = [successRate, retries, failingShare].map(formatShare).join(' | ');
    const waits = `${result.waitP50Ms} ms | ${result.waitP99Ms} ms`;
    lines.push(`| ${failing} | ${policy} | ${shares} | ${waits} | ${result.soundDemoted} |`);
  }
  return lines.join('\n');
}

const cli = cac('runHealthBench');
cli
  .command('', 'Compares health policies with 0, 1, 3 and 10 of 30 runners failing')
  .option('--json <file>', 'File that the figures are written to')
  .option('--seed <number>', 'Seed of arrivals, run times and jitter', { default: 1 })
  .option('--seconds <number>', 'Virtual time of each measurement', { default: 300 })
  .option('--load <share>', 'Arrivals as a share of the capacity of all runners', { default: 0.6 })
  .option('--bad <share>', 'Share of requests that fail on every runner', { default: 0.01 })
  .option('--wait', 'Waits for another runner when only penalized ones have a free slot')
  .action((opts: CommandOptions) => {
    const results = FAILING_COUNTS.flatMap((failing) =>
      HEALTH_POLICY_NAMES.map((policy) =>
        measureHealth({
          policy,
          failing,
          seed: opts.seed,
          load: opts.load,
          alwaysFailingShare: opts.bad,
          whenOnlyPenalized: opts.wait ? 'wait' : 'spill',
          durationMs: opts.seconds * 1000,
        }),
      ),
    );
    process.stdout.write(`${formatTable(results)}\n`);
    if (opts.json !== undefined) {
      writeFileSync(opts.json, `${JSON.stringify({ options: opts, results }, null, 2)}\n`);
    }
  });
cli.help();
cli.parse();
