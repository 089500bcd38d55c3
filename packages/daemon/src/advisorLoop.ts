import type { LeaderClient } from '@lagoongap/gateway/leaderClient.js';
import { delay } from '@lagoongap/model/delay.js';
import type { Log } from '@lagoongap/model/log.js';
import type { AdviceQuery, AdviceReport } from '@lagoongap/workflow/adviceBroker.js';
import type { Ticket } from '@lagoongap/workflow/ticketCache.js';

/** Answer of the advisor. */
export interface AdvisorAnswer {
  good: Ticket[];
  /** Time for which the tickets are valid in milliseconds. */
  validMs: number;
}

/** Asks the advisor which endpoints may run a step. */
export interface Advisor {
  /** Resolves with undefined if there is no usable answer within `timeoutMs`. */
  ask(step: string, endpoints: string[], timeoutMs: number): Promise<AdvisorAnswer | undefined>;
}

/** Options of an {@link AdvisorLoop}. */
export interface AdvisorLoopOptions {
  leader: LeaderClient;
  advisor: Advisor;
  log: Log;
}

/** Longest wait for a question. */
const WAIT_MS = 1000;

/** Time for one exchange with the leader, the wait included. */
const EXCHANGE_TIMEOUT_MS = 1800;

/** Pause after an exchange without an answer. */
const RETRY_MS = 200;

/** Takes questions to the advisor from the leader, one at a time, and brings the answers back. */
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
      let question: AdviceQuery | null;
      try {
        question = await this.opts.leader.call<AdviceQuery | null>(
          'advice.exchange',
          { reports, waitMs: WAIT_MS },
          { deadlineMs: EXCHANGE_TIMEOUT_MS },
        );
        reports = [];
      } catch (err) {
        this.opts.log.debug('no exchange of advice', { err: (err as Error).message });
        reports = [];
        await delay(RETRY_MS);
        continue;
      }
      if (question) reports = [await this.ask(question)];
    }
  }

  private async ask({ id, step, endpoints, timeoutMs }: AdviceQuery): Promise<AdviceReport> {
    const sentMs = performance.now();
    const answer = await this.opts.advisor.ask(step, endpoints, timeoutMs);
    return {
      id,
      good: answer?.good,
      validMs: answer?.validMs,
      durationMs: performance.now() - sentMs,
    };
  }
}
