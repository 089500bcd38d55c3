import { NO_RESOURCES, RESOURCE_NAMES } from '@lagoongap/model/resources.js';
import type { ResourceName, Resources } from '@lagoongap/model/resources.js';

/** Options of the {@link SizeEstimator}. */
export interface SizeEstimatorOptions {
  /** Number of samples below which the declared size is used. */
  minSamples: number;
  /** Number of samples kept per team and kind of work. */
  maxSamples: number;
  /** Percentile of the samples that the reservation covers, from 0 to 1. */
  percentile: number;
  /** Factor by which the percentile is multiplied. */
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

/** Dimensions that are shared and whose usage can differ from the declared size. */
const ESTIMATED_RESOURCES: readonly ResourceName[] = ['cpuMillis', 'memoryMib'];

interface UsageProfile {
  /** Ratios of peak to declared size, as tasks of one kind of work may differ in size. */
  peaks: Resources[];
  runTimesMs: number[];
  nextPeakIndex: number;
  nextRunTimeIndex: number;
  /** Percentile of the peaks; absent while it must be recomputed. */
  peakPercentiles: Resources | undefined;
}

function divideByDeclared(peak: Resources, declared: Resources): Resources {
  const ratio = { ...NO_RESOURCES };
  for (const name of RESOURCE_NAMES) {
    if (declared[name] > 0) ratio[name] = peak[name] / declared[name];
  }
  return ratio;
}

function computePercentile(values: number[], percentile: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * percentile))] ?? 0;
}

/** Estimates sizes and run times per team and kind of work from the usage of attempts. */
export class SizeEstimator {
  private readonly profiles = new Map<string, UsageProfile>();
  private readonly opts: SizeEstimatorOptions;

  constructor(opts: Partial<SizeEstimatorOptions> = {}) {
    this.opts = { ...DEFAULT_SIZE_OPTIONS, ...opts };
  }

  /** Records the peak usage of one attempt with the declared size `declared`. */
  recordPeak(team: string, work: string, peak: Resources, declared: Resources): void {
    const profile = this.getOrCreateProfile(team, work);
    profile.peaks[profile.nextPeakIndex] = divideByDeclared(peak, declared);
    profile.nextPeakIndex = (profile.nextPeakIndex + 1) % this.opts.maxSamples;
    profile.peakPercentiles = undefined;
  }

  /** Records the run time of one successful attempt. */
  recordRunTime(team: string, work: string, durationMs: number): void {
    const profile = this.getOrCreateProfile(team, work);
    profile.runTimesMs[profile.nextRunTimeIndex] = durationMs;
    profile.nextRunTimeIndex = (profile.nextRunTimeIndex + 1) % this.opts.maxSamples;
  }

  /** Returns the size to reserve for a task with the declared size `declared`. */
  estimate(team: string, work: string, declared: Resources): Resources {
    const profile = this.profiles.get(`${team}|${work}`);
    if (!profile || profile.peaks.length < this.opts.minSamples) return { ...declared };
    profile.peakPercentiles ??= this.computePeakPercentiles(profile);
    const size = { ...declared };
    for (const name of ESTIMATED_RESOURCES) {
      // Zero means that the dimension was not reported, not that it is unused.
      if (profile.peakPercentiles[name] === 0) continue;
      const withHeadroom = this.addHeadroom(declared[name], profile.peakPercentiles[name]);
      const minSize = Math.ceil(declared[name] * this.opts.minFactor);
      const maxSize = Math.floor(declared[name] * this.opts.maxFactor);
      size[name] = Math.max(minSize, Math.min(maxSize, withHeadroom));
    }
    return size;
  }

  /** Returns a high percentile of the run times, or undefined with too few samples. */
  estimateRunTime(team: string, work: string): number | undefined {
    const profile = this.profiles.get(`${team}|${work}`);
    if (!profile || profile.runTimesMs.length < this.opts.minSamples) return undefined;
    return computePercentile(profile.runTimesMs, this.opts.percentile);
  }

  /**
   * Adds headroom for usage above the samples. No headroom is added above the declared size
   * while the observed peaks stay within it.
   */
  private addHeadroom(declared: number, ratio: number): number {
    const withHeadroom = declared * ratio * this.opts.headroom;
    return Math.ceil(ratio <= 1 ? Math.min(declared, withHeadroom) : withHeadroom);
  }

  private computePeakPercentiles(profile: UsageProfile): Resources {
    const percentiles = { cpuMillis: 0, memoryMib: 0, accelerators: 0, slots: 0 };
    for (const name of RESOURCE_NAMES) {
      const values = profile.peaks.map((peak) => peak[name]);
      percentiles[name] = computePercentile(values, this.opts.percentile);
    }
    return percentiles;
  }

  private getOrCreateProfile(team: string, work: string): UsageProfile {
    const key = `${team}|${work}`;
    let profile = this.profiles.get(key);
    if (!profile) {
      profile = {
        peaks: [],
        runTimesMs: [],
        nextPeakIndex: 0,
        nextRunTimeIndex: 0,
        peakPercentiles: undefined,
      };
      this.profiles.set(key, profile);
    }
    return profile;
  }
}
