import { estimateMemory } from '@lagoongap/model/estimateMemory.js';
import { RefusalError } from '@lagoongap/model/refusalError.js';
import type { JobSpec } from '@lagoongap/model/workload.js';
import type { ClusterState } from '@lagoongap/state/clusterState.js';

/** Memory of the records of a job and of a task, in bytes. */
const BYTES_PER_JOB = 1024;
const BYTES_PER_TASK = 256;

/** Part of the memory for jobs that one team may use. */
const TEAM_FRACTION = 0.5;

/** Maximum age of the sums over all jobs; submissions since then are added to them. */
const TOTALS_MAX_AGE_MS = 1000;

/** Time after which a refused caller may retry; some of the jobs have to be removed first. */
const RETRY_AFTER_MS = 5000;

/** Default for the estimated memory of all jobs. */
export const DEFAULT_JOB_BYTES = 256 * 1024 * 1024;

interface HeldJob {
  team: string;
  spec: JobSpec;
}

/**
 * Limits the estimated memory of all jobs, ended ones until they are removed. Each replica holds them
 * with their payloads, and the number of waiting ones says nothing about their size.
 */
export class JobMemory {
  private readonly state: ClusterState;
  readonly maxBytes: number;
  private readonly estimates = new WeakMap<JobSpec, number>();
  /** Submissions that are being committed, by job id. */
  private readonly inFlight = new Map<string, HeldJob>();
  private totalBytes = 0;
  private teamBytes = new Map<string, number>();
  private totalsReadMs = -Infinity;

  constructor(state: ClusterState, maxBytes: number) {
    this.state = state;
    this.maxBytes = maxBytes;
  }

  /** Admits a job until it is committed or has failed; throws a `queue-full` refusal at a limit. */
  admit(id: string, job: HeldJob): Disposable {
    this.refreshTotals();
    const bytes = this.estimate(job.spec);
    if (this.totalBytes + bytes > this.maxBytes) {
      this.refuse('the jobs take all the memory that is set aside for them');
    }
    if ((this.teamBytes.get(job.team) ?? 0) + bytes > this.maxBytes * TEAM_FRACTION) {
      this.refuse(`the jobs of team ${job.team} take all the memory that is set aside for a team`);
    }
    this.inFlight.set(id, job);
    this.add(job);
    return { [Symbol.dispose]: () => this.inFlight.delete(id) };
  }

  private refuse(message: string): never {
    const retryAfterMs = RETRY_AFTER_MS;
    throw new RefusalError({ type: 'queue-full', runState: 'not-run', message, retryAfterMs });
  }

  private refreshTotals(): void {
    const nowMs = performance.now();
    if (nowMs - this.totalsReadMs < TOTALS_MAX_AGE_MS) return;
    this.totalsReadMs = nowMs;
    this.totalBytes = 0;
    this.teamBytes = new Map();
    for (const job of this.state.jobs.values()) this.add(job);
    for (const [id, job] of this.inFlight) if (!this.state.jobs.get(id)) this.add(job);
  }

  private add({ team, spec }: HeldJob): void {
    const bytes = this.estimate(spec);
    this.totalBytes += bytes;
    this.teamBytes.set(team, (this.teamBytes.get(team) ?? 0) + bytes);
  }

  private estimate(spec: JobSpec): number {
    const known = this.estimates.get(spec);
    if (known !== undefined) return known;
    const bytes = BYTES_PER_JOB + spec.tasks * BYTES_PER_TASK + estimateMemory(spec);
    this.estimates.set(spec, bytes);
    return bytes;
  }
}
