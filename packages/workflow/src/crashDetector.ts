import type { AgentRun } from './agentRun.js';
import { REPLACED_REASON, type EndpointAgent, type IncarnationEnd } from './endpointAgent.js';
import type { SessionContext } from './sessionContext.js';
import type { EndpointRecord } from './workflowRecords.js';

/** Reasons for the loss of runs that an earlier incarnation with the same id had. */
const UNREPORTED_REASONS = new Set(['not reported by the endpoint', 'the order never arrived']);

/** Crash of one incarnation of an endpoint. */
export interface EndpointCrash extends IncarnationEnd {
  endpoint: string;
  instance: string;
  /** Runs that were ordered before the crash was noticed. */
  runs: AgentRun[];
}

/** Recognises the loss of runs by a crash of their endpoint. */
export class CrashDetector {
  private readonly context: SessionContext;
  private readonly isUnderMaintenance: (instance: string) => boolean;
  /** Latest crash counted of each endpoint that kept its id. */
  private readonly counted = new WeakMap<EndpointAgent, IncarnationEnd>();

  /** @param isUnderMaintenance - Returns whether this cell has ordered the end of an endpoint. */
  constructor(context: SessionContext, isUnderMaintenance: (instance: string) => boolean) {
    this.context = context;
    this.isUnderMaintenance = isUnderMaintenance;
  }

  /**
   * Returns the crash that lost runs, or undefined if they were lost otherwise. A newer incarnation
   * is the evidence; a shutdown that was announced or ordered is no crash, nor is an expired lease.
   */
  detect(agent: EndpointAgent, runs: AgentRun[], reason: string): EndpointCrash | undefined {
    const end = this.findEnd(agent, reason);
    const crash = end && this.describe(agent.record, runs, end);
    if (!crash) return undefined;
    const isCounted = this.counted.get(agent) === end;
    this.counted.set(agent, end);
    this.report(crash, isCounted);
    return crash;
  }

  /** Returns a crash with the runs that were present, or undefined if there were none. */
  describe(
    { id: endpoint, instance }: EndpointRecord,
    runs: AgentRun[],
    end: IncarnationEnd,
  ): EndpointCrash | undefined {
    if (end.wasLeaving || this.isUnderMaintenance(instance)) return undefined;
    const present = runs.filter(({ orderedMs }) => orderedMs <= end.noticedMs);
    if (present.length === 0) return undefined;
    const confirmedMs = present.map((run) => run.confirmedMs ?? -Infinity);
    const lastContactMs = Math.max(end.lastContactMs, ...confirmedMs);
    return { ...end, lastContactMs, endpoint, instance, runs: present };
  }

  private findEnd(agent: EndpointAgent, reason: string): IncarnationEnd | undefined {
    if (reason === REPLACED_REASON) return agent.describeEnd();
    return UNREPORTED_REASONS.has(reason) ? agent.previousEnd : undefined;
  }

  private report({ endpoint, instance, runs, noticedMs }: EndpointCrash, isCounted: boolean): void {
    const { logger, meter } = this.context;
    if (!isCounted) meter.countEndpointCrash(runs.length);
    const newestFirst = [...runs].sort((a, b) => b.orderedMs - a.orderedMs);
    logger.warn('endpoint crashed', {
      endpoint,
      instance,
      silentMs: Math.round(performance.now() - noticedMs),
      runs: newestFirst
        .map(({ key, orderedMs }) => `${key} after ${Math.round(noticedMs - orderedMs)} ms`)
        .join(),
    });
  }
}
