import { NO_RESOURCES, RESOURCE_NAMES } from '@lagoongap/model/resources.js';
import type { ResourceName, Resources } from '@lagoongap/model/resources.js';

/** Options of the {@link SizeEstimator}. */
export interface SizeEstimatorOptions {
  /** Samples that are needed before the declared size is left. */
  minSamples: number;
  /** Samples that are kept per team and kind of work. */
  maxSamples: number;
  /** Part of the samples that the reservation covers, from 0 to 1. */
  percentile: number;
  /** Factor on top of the percentile. */
  headroom: number;
  /** Largest reservation, as a multiple of the declared size. */
  maxFactor: number;
  /** Smallest reservation, as a multiple of the declared size. */
  minFactor: number;
}

/** Defaults of the {@link SizeEstimator}. */
export const DEFAULT_SIZE_OPTIONS: Readonly<SizeEstimatorOptions> = {
  minSamples: 8,
  maxSamples: 64,
  percentile: 0.9,
  headroom: 1.1,
  maxFactor: 2,
  minFactor: 0.1,
};

/** Dimensions whose use is shared and can differ from what is declared. */
const LEARNED_NAMES: readonly ResourceName[] = ['cpuMillis', 'memoryMib'];

interface Profile {
  /** Peaks over declared sizes, as tasks of one kind of work may differ in size. */
  peaks: Resources[];
  runTimesMs: number[];
  next: number;
  nextRunTime: number;
  /** Percentile of the peaks; absent until computed anew. */
  learned: Resources | undefined;
}

function divide(peak: Resources, declared: Resources): Resources {
  const ratio = { ...NO_RESOURCES };
  for (const name of RESOURCE_NAMES) {
    if (declared[name] > 0) ratio[name] = peak[name] / declared[name];
  }
  return ratio;
}

function readPercentile(values: number[], percentile: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * percentile))] ?? 0;
}

/** Learns sizes and run times per team and kind of work from what attempts report. */
export class SizeEstimator {
  private readonly profiles = new Map<string, Profile>();
  private readonly opts: SizeEstimatorOptions;

  constructor(opts: Partial<SizeEstimatorOptions> = {}) {
    this.opts = { ...DEFAULT_SIZE_OPTIONS, ...opts };
  }

  /** Records the peak usage of one attempt of which `declared` was said. */
  learnPeak(team: string, work: string, peak: Resources, declared: Resources): void {
    const profile = this.open(team, work);
    profile.peaks[profile.next] = divide(peak, declared);
    profile.next = (profile.next + 1) % this.opts.maxSamples;
    profile.learned = undefined;
  }

  /** Records the run time of one attempt that succeeded. */
  learnRunTime(team: string, work: string, durationMs: number): void {
    const profile = this.open(team, work);
    profile.runTimesMs[profile.nextRunTime] = durationMs;
    profile.nextRunTime = (profile.nextRunTime + 1) % this.opts.maxSamples;
  }

  /** Returns the size to reserve for a task of which `declared` is said. */
  estimate(team: string, work: string, declared: Resources): Resources {
    const profile = this.profiles.get(`${team}|${work}`);
    if (!profile || profile.peaks.length < this.opts.minSamples) return { ...declared };
    profile.learned ??= this.summarize(profile);
    const size = { ...declared };
    for (const name of LEARNED_NAMES) {
      // A dimension that nobody ever reports is not known to be unused.
      if (profile.learned[name] === 0) continue;
      const wanted = this.addHeadroom(declared[name], profile.learned[name]);
      const least = Math.ceil(declared[name] * this.opts.minFactor);
      const most = Math.floor(declared[name] * this.opts.maxFactor);
      size[name] = Math.max(least, Math.min(most, wanted));
    }
    return size;
  }

  /** Returns a high percentile of run times; undefined before enough were seen. */
  estimateRunTime(team: string, work: string): number | undefined {
    const profile = this.profiles.get(`${team}|${work}`);
    if (!profile || profile.runTimesMs.length < this.opts.minSamples) return undefined;
    return readPercentile(profile.runTimesMs, this.opts.percentile);
  }

  /** Headroom covers what was not seen yet, but a declared size that is kept to needs none. */
  private addHeadroom(declared: number, ratio: number): number {
    const wanted = declared * ratio * this.opts.headroom;
    return Math.ceil(ratio <= 1 ? Math.min(declared, wanted) : wanted);
  }

  private summarize(profile: Profile): Resources {
    const learned = { cpuMillis: 0, memoryMib: 0, accelerators: 0, slots: 0 };
    for (const name of RESOURCE_NAMES) {
      const values = profile.peaks.map((peak) => peak[name]);
      learned[name] = readPercentile(values, this.opts.percentile);
    }
    return learned;
  }

  private open(team: string, work: string): Profile {
    const key = `${team}|${work}`;
    let profile = this.profiles.get(key);
    if (!profile) {
      profile = { peaks: [], runTimesMs: [], next: 0, nextRunTime: 0, learned: undefined };
      this.profiles.set(key, profile);
    }
    return profile;
  }
}
