import { createHash } from 'node:crypto';

import type { AdviceBroker, AdviceQuery, AdviceReport } from '@lagoongap/workflow/adviceBroker.js';
import type { AdvicePolicy } from '@lagoongap/workflow/cellConfig.js';

/** Time for which an instance waits for a query. */
const POLL_MS = 1000;

/** Query that an instance has sent. */
export interface SentQuery extends AdviceQuery {
  /** Monotonic time. */
  atMs: number;
}

function findByPrefix<T>(values: ReadonlyMap<string, T>, step: string): T | undefined {
  return [...values].find(([prefix]) => step.startsWith(prefix))?.[1];
}

/** Advisor that answers the queries of several instances on the fake clock, one at a time each. */
export class SimulatedAdvisor {
  /** Endpoints of all queries, by step. */
  readonly asked = new Map<string, Set<string>>();
  /** All queries, in the order in which they were sent. */
  readonly sent: SentQuery[] = [];
  /** Instances that take queries and send none. */
  readonly failed = new Set<string>();
  /** Endpoints that no step may use. */
  readonly unsuitable = new Set<string>();
  /** Latency and validity for the steps of the jobs whose id begins with a prefix. */
  readonly policies = new Map<string, AdvicePolicy>();
  /** Share of the endpoints that a step may use, by prefix of the id of its job; by default all. */
  readonly suitableShares = new Map<string, number>();
  /** Additional time until a report reaches the leader. */
  reportDelayMs = 0;
  private readonly policy: AdvicePolicy;

  constructor(policy: AdvicePolicy) {
    this.policy = policy;
  }

  /** Lets instances poll for queries; a broker that is disposed of ends their polls. */
  serve(broker: AdviceBroker, instances: number): void {
    for (let i = 0; i < instances; i += 1) this.poll(broker, `i${i}`, []).catch(() => undefined);
  }

  private async poll(
    broker: AdviceBroker,
    instance: string,
    reports: AdviceReport[],
  ): Promise<void> {
    const query = await broker.exchange(instance, reports, POLL_MS);
    if (this.failed.has(instance)) return undefined;
    return this.poll(broker, instance, query ? [await this.answer(query)] : []);
  }

  private async answer(query: AdviceQuery): Promise<AdviceReport> {
    const { id, step, endpoints } = query;
    this.sent.push({ ...query, atMs: performance.now() });
    const { decideMs, perEndpointMs, validMs } = findByPrefix(this.policies, step) ?? this.policy;
    const durationMs = decideMs + perEndpointMs * endpoints.length;
    const asked = this.asked.get(step) ?? new Set<string>();
    for (const endpoint of endpoints) asked.add(endpoint);
    this.asked.set(step, asked);
    await new Promise((resolve) => {
      setTimeout(resolve, durationMs + this.reportDelayMs);
    });
    const good = endpoints
      .filter((endpoint) => !this.unsuitable.has(endpoint) && this.isSuitable(step, endpoint))
      .map((endpoint) => ({ endpoint, ticket: `${step} ${endpoint}` }));
    return { id, good, durationMs, validMs };
  }

  /** Decides by a hash, so that an answer does not change. */
  private isSuitable(step: string, endpoint: string): boolean {
    const share = findByPrefix(this.suitableShares, step) ?? 1;
    const digest = createHash('md5').update(`${step} ${endpoint}`).digest();
    return digest.readUInt32BE() < share * 2 ** 32;
  }
}
