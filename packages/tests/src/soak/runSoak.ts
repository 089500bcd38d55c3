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
  endpoints: number;
  keep?: boolean;
}

async function playWhole(seed: number, folder: string, flags: SoakFlags): Promise<SoakResult> {
  await using run = new SoakRun({
    seed,
    folder,
    replicas: flags.replicas,
    gateways: 2,
    endpoints: flags.endpoints,
    loadMs: flags.seconds * MS_PER_SECOND,
  });
  return await run.play();
}

/** Plays a seed; a soak that cannot go on is a failure of the seed, not of the whole run. */
async function playSeed(seed: number, folder: string, flags: SoakFlags): Promise<SoakResult> {
  try {
    return await playWhole(seed, folder, flags);
  } catch (err) {
    const violations = [`the soak could not go on: ${(err as Error).stack}`];
    return { seed, violations, accepted: 0, starts: 0, faults: [] };
  }
}

function report({ seed, accepted, starts, faults, violations }: SoakResult): void {
  const plan = faults.map(({ kind, atMs }) => `${kind}@${atMs}`).join(' ');
  const verdict = violations.length === 0 ? 'kept' : 'BROKEN';
  process.stdout.write(`seed ${seed}: ${verdict}, ${accepted} jobs, ${starts} starts; ${plan}\n`);
  for (const text of violations) process.stdout.write(`  ${text}\n`);
}

async function main(flags: SoakFlags): Promise<void> {
  const first = flags.first ?? Math.floor(Math.random() * 1_000_000);
  const folder = await mkdtemp(join(tmpdir(), 'lagoongap-soak-'));
  const seeds = Array.from({ length: flags.seeds }, (_, index) => first + index);
  const broken: number[] = [];
  let played = 0;
  const work = async (): Promise<void> => {
    for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
      const result = await playSeed(seed, folder, flags);
      report(result);
      played += 1;
      if (result.violations.length === 0) continue;
      broken.push(seed);
      await writeFile(join(folder, `seed-${seed}.json`), JSON.stringify(result, null, 2));
    }
  };
  await Promise.all(Array.from({ length: flags.jobs }, work));
  process.stdout.write(`${played - broken.length} passed, ${broken.length} failed\n`);
  if (broken.length === 0 && !flags.keep) await rm(folder, { recursive: true, force: true });
  else process.stdout.write(`logs are in ${folder}\n`);
  process.exit(broken.length === 0 ? 0 : 1);
}

const cli = cac('soak');
cli
  .command('', 'Plays seeds of random faults against the real programs')
  .option('--first <seed>', 'First seed; drawn at random by default')
  .option('--seeds <count>', 'Number of seeds', { default: DEFAULT_SEEDS })
  .option('--jobs <count>', 'Seeds played at the same time', { default: 1 })
  .option('--seconds <count>', 'Time for which faults strike', { default: DEFAULT_LOAD_S })
  .option('--replicas <count>', 'Replicas of the durable state', { default: 3 })
  .option('--endpoints <count>', 'Endpoints that run tasks', { default: 6 })
  .option('--keep', 'Keeps the logs of seeds that passed')
  .action((flags: SoakFlags) => main(flags));
cli.help();
cli.parse();
