import { RefusalError } from '@lagoongap/model/refusalError.js';

import type { CellLimits } from './cellLimits.js';
import type { JobSpec } from './jobSpec.js';
import type { SubmitCommand } from './workflowCommand.js';
import type { WorkflowState } from './workflowState.js';

/** Estimated memory of the records of a job, in bytes. */
const BYTES_PER_JOB = 1024;
const BYTES_PER_STEP = 768;
const BYTES_PER_TASK = 256;
const BYTES_PER_DEPENDENCY = 16;
const BYTES_PER_CHARACTER = 2;

/** Maximum age of the sums over all jobs; submissions since then are added to them. */
const TOTALS_MAX_AGE_MS = 250;

/** Time after which a refused caller may retry; some of the work that waits has to end first. */
const RETRY_AFTER_MS = 5000;

/** What jobs hold. */
interface Holdings {
  steps: number;
  bytes: number;
}

type HeldJob = Pick<SubmitCommand, 'organisation' | 'spec'>;

/** Estimates the memory that a replica needs for a job, in bytes. */
export function estimateJobBytes({ payload, steps }: JobSpec): number {
  let bytes = BYTES_PER_JOB + payload.length * BYTES_PER_CHARACTER;
  for (const { taskCount, dependsOn } of steps) {
    bytes += BYTES_PER_STEP + taskCount * BYTES_PER_TASK + dependsOn.length * BYTES_PER_DEPENDENCY;
  }
  return bytes;
}

/**
 * Refuses jobs beyond the limits of the cell or of their organisation. What is accepted has to be
 * stored by each replica and ordered in each scheduling cycle until it ends.
 */
export class JobAdmission {
  private readonly state: WorkflowState;
  readonly limits: CellLimits;
  private readonly estimates = new WeakMap<JobSpec, number>();
  /** Submissions that are being committed. */
  private readonly inFlight = new Map<string, SubmitCommand>();
  private total: Holdings = { steps: 0, bytes: 0 };
  private organisations = new Map<string, Holdings>();
  private totalsReadMs = -Infinity;

  constructor(state: WorkflowState, limits: CellLimits) {
    this.state = state;
    this.limits = limits;
  }

  /**
   * Admits a submission until it is committed or has failed; throws an `over-limit` refusal beyond a
   * limit. A repetition of one that is being committed is admitted, as it adds nothing.
   */
  admit(command: SubmitCommand): Disposable {
    const { id } = command;
    if (this.inFlight.has(id)) return { [Symbol.dispose]: () => {} };
    this.refreshTotals();
    this.check(command);
    this.inFlight.set(id, command);
    this.add(command, true);
    return { [Symbol.dispose]: () => this.inFlight.delete(id) };
  }

  private check({ organisation, spec }: SubmitCommand): void {
    const { maxSteps, maxBytes, maxOrganisationSteps, maxOrganisationBytes } = this.limits;
    const { length } = spec.steps;
    const bytes = this.estimate(spec);
    const own = this.holdingsOf(organisation);
    if (own.steps + length > maxOrganisationSteps) {
      this.refuse(`the open jobs of the organisation have ${own.steps} steps`);
    }
    if (own.bytes + bytes > maxOrganisationBytes) {
      this.refuse('the jobs of the organisation take all the memory that is set aside for it');
    }
    if (this.total.steps + length > maxSteps) {
      this.refuse(`all open jobs have ${this.total.steps} steps`);
    }
    if (this.total.bytes + bytes > maxBytes) {
      this.refuse('all jobs take all the memory that is set aside for them');
    }
  }

  private refuse(message: string): never {
    const retryAfterMs = RETRY_AFTER_MS;
    throw new RefusalError({ type: 'over-limit', runState: 'not-run', message, retryAfterMs });
  }

  private refreshTotals(): void {
    const nowMs = performance.now();
    if (nowMs - this.totalsReadMs < TOTALS_MAX_AGE_MS) return;
    this.totalsReadMs = nowMs;
    this.total = { steps: 0, bytes: 0 };
    this.organisations = new Map();
    for (const job of this.state.jobs.values()) this.add(job, job.status === 'open');
    for (const [id, command] of this.inFlight) {
      if (!this.state.jobs.has(id)) this.add(command, true);
    }
  }

  private add({ organisation, spec }: HeldJob, isOpen: boolean): void {
    const steps = isOpen ? spec.steps.length : 0;
    const bytes = this.estimate(spec);
    for (const holdings of [this.total, this.holdingsOf(organisation)]) {
      holdings.steps += steps;
      holdings.bytes += bytes;
    }
  }

  private holdingsOf(organisation: string): Holdings {
    const known = this.organisations.get(organisation);
    if (known) return known;
    const created = { steps: 0, bytes: 0 };
    this.organisations.set(organisation, created);
    return created;
  }

  private estimate(spec: JobSpec): number {
    const known = this.estimates.get(spec);
    if (known !== undefined) return known;
    const bytes = estimateJobBytes(spec);
    this.estimates.set(spec, bytes);
    return bytes;
  }
}
