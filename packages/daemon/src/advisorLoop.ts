import type { LeaderClient } from '@lagoongap/gateway/leaderClient.js';
import { delay } from '@lagoongap/model/delay.js';
import type { Log } from '@lagoongap/model/log.js';
import type { AdviceQuery, AdviceReport } from '@lagoongap/workflow/adviceBroker.js';
import type { Ticket } from '@lagoongap/workflow/ticketCache.js';

/** Response of the advisor. */
export interface AdvisorResponse {
  good: Ticket[];
  /** Time in milliseconds for which the tickets are valid. */
  validMs: number;
}

/** Queries the advisor about which endpoints may run a step. */
export interface Advisor {
  /** Resolves with undefined if no usable response arrives within `timeoutMs`. */
  query(step: string, endpoints: string[], timeoutMs: number): Promise<AdvisorResponse | undefined>;
}

/** Options of an {@link AdvisorLoop}. */
export interface AdvisorLoopOptions {
  leader: LeaderClient;
  advisor: Advisor;
  log: Log;
}

/** Time for which the leader holds an exchange open while it has no query. */
const QUERY_WAIT_MS = 1000;

/** Deadline of one exchange with the leader, including the wait for a query. */
const EXCHANGE_TIMEOUT_MS = 1800;

/** Delay after a failed exchange. */
const RETRY_DELAY_MS = 200;

/** Polls the leader for queries, sends them to the advisor one at a time and reports back. */
export class AdvisorLoop implements Disposable {
  private readonly opts: AdvisorLoopOptions;
  private isDisposed = false;

  constructor(opts: AdvisorLoopOptions) {
    this.opts = opts;
  }

  start(): void {
    this.run().catch((err: Error) => {
      this.opts.log.error('advisor loop failed', { err: err.message });
    });
  }

  [Symbol.dispose](): void {
    this.isDisposed = true;
  }

  private async run(): Promise<void> {
    let reports: AdviceReport[] = [];
    while (!this.isDisposed) {
      let query: AdviceQuery | null;
      try {
        query = await this.opts.leader.call<AdviceQuery | null>(
          'advice.exchange',
          { reports, waitMs: QUERY_WAIT_MS },
          { deadlineMs: EXCHANGE_TIMEOUT_MS, heldMs: QUERY_WAIT_MS },
        );
        reports = [];
      } catch (err) {
        this.opts.log.debug('advice exchange with the leader failed', {
          err: (err as Error).message,
        });
        // Reports are known by the id of their query, so that they can be sent again.
        await delay(RETRY_DELAY_MS);
        continue;
      }
      reports = query ? await this.queryAdvisor(query) : [];
    }
  }

  /** Resolves with the report, or with none after an unexpected error, which must not end the loop. */
  private async queryAdvisor({
    id,
    step,
    endpoints,
    timeoutMs,
  }: AdviceQuery): Promise<AdviceReport[]> {
    const sentMs = performance.now();
    try {
      const response = await this.opts.advisor.query(step, endpoints, timeoutMs);
      const durationMs = performance.now() - sentMs;
      return [{ id, good: response?.good, validMs: response?.validMs, durationMs }];
    } catch (err) {
      this.opts.log.warn('query was not sent to the advisor', {
        step,
        err: (err as Error).message,
      });
      return [];
    }
  }
}
