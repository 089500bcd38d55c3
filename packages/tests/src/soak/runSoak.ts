import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { cac } from 'cac';

import { SoakRun, type SoakResult } from './soakRun.js';

const DEFAULT_SEEDS = 3;
const DEFAULT_LOAD_S = 6;
const MS_PER_SECOND = 1000;

interface SoakFlags {
  first?: number;
  seeds: number;
  jobs: number;
  seconds: number;
  replicas: number;
  gateways: number;
  endpoints: number;
  keep?: boolean;
}

async function runSeedToCompletion(
  seed: number,
  folder: string,
  flags: SoakFlags,
): Promise<SoakResult> {
  await using run = new SoakRun({
    seed,
    folder,
    replicas: flags.replicas,
    gateways: flags.gateways,
    endpoints: flags.endpoints,
    loadMs: flags.seconds * MS_PER_SECOND,
  });
  return await run.run();
}

/** Runs a seed; an error counts as a failure of this seed and does not end the whole run. */
async function runSeed(seed: number, folder: string, flags: SoakFlags): Promise<SoakResult> {
  try {
    return await runSeedToCompletion(seed, folder, flags);
  } catch (err) {
    const violations = [`the soak failed with an error: ${(err as Error).stack}`];
    return { seed, violations, accepted: 0, starts: 0, faults: [], processes: 0, memoryMb: 0 };
  }
}

function printResult(res: SoakResult): void {
  const { seed, accepted, starts, faults, violations, processes, memoryMb } = res;
  const plan = faults.map(({ kind, atMs }) => `${kind}@${atMs}`).join(' ');
  const result = violations.length === 0 ? 'kept' : 'BROKEN';
  const size = `${processes} processes, ${memoryMb} MB`;
  process.stdout.write(
    `seed ${seed}: ${result}, ${accepted} jobs, ${starts} starts, ${size}; ${plan}\n`,
  );
  for (const text of violations) process.stdout.write(`  ${text}\n`);
}

async function main(flags: SoakFlags): Promise<void> {
  const first = flags.first ?? Math.floor(Math.random() * 1_000_000);
  const folder = await mkdtemp(join(tmpdir(), 'lagoongap-soak-'));
  const seeds = Array.from({ length: flags.seeds }, (_, index) => first + index);
  const failedSeeds: number[] = [];
  // Exits through `process.exit`, whose `exit` handlers kill the programs under test.
  process.once('SIGTERM', () => process.exit(1));
  process.once('SIGINT', () => process.exit(1));
  let finishedCount = 0;
  const runSeeds = async (): Promise<void> => {
    for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
      const result = await runSeed(seed, folder, flags);
      printResult(result);
      finishedCount += 1;
      if (result.violations.length === 0) continue;
      failedSeeds.push(seed);
      await writeFile(join(folder, `seed-${seed}.json`), JSON.stringify(result, null, 2));
    }
  };
  await Promise.all(Array.from({ length: flags.jobs }, runSeeds));
  process.stdout.write(
    `${finishedCount - failedSeeds.length} passed, ${failedSeeds.length} failed\n`,
  );
  if (failedSeeds.length === 0 && !flags.keep) await rm(folder, { recursive: true, force: true });
  else process.stdout.write(`logs are in ${folder}\n`);
  process.exit(failedSeeds.length === 0 ? 0 : 1);
}

const cli = cac('soak');
cli
  .command('', 'Runs seeds of random faults against the real programs')
  .option('--first <seed>', 'First seed; random by default')
  .option('--seeds <count>', 'Number of seeds', { default: DEFAULT_SEEDS })
  .option('--jobs <count>', 'Number of seeds run in parallel', { default: 1 })
  .option('--seconds <count>', 'Duration of the load and fault injection in seconds', {
    default: DEFAULT_LOAD_S,
  })
  .option('--replicas <count>', 'Number of replicas', { default: 3 })
  .option('--gateways <count>', 'Number of gateways', { default: 2 })
  .option('--endpoints <count>', 'Number of endpoints', { default: 6 })
  .option('--keep', 'Keeps the logs if all seeds pass')
  .action((flags: SoakFlags) => main(flags));
cli.help();
cli.parse();
