import type { AdvicePolicy } from './cellConfig.js';
import type { AdviceAnswer, Ticket } from './ticketBook.js';

/** Question for the advisor, as handed to an instance that asks it. */
export interface AdviceQuestion {
  id: number;
  /** Name of the step. */
  step: string;
  endpoints: string[];
  /** Time after which the instance gives up in milliseconds. */
  timeoutMs: number;
}

/** What an instance brings back. */
export interface AdviceReport {
  id: number;
  /** Absent if the advisor gave no usable answer. */
  good?: Ticket[];
  /** Time from the question to the answer in milliseconds, on the clock of the instance. */
  durationMs: number;
  /** Time for which the tickets are valid from the answer on in milliseconds. */
  validMs?: number;
}

interface Pending {
  question: AdviceQuestion;
  urgency: number;
  resolve: (answer: AdviceAnswer | undefined) => void;
  handedOutMs: number;
  handouts: number;
  deadline?: NodeJS.Timeout;
}

interface Waiter {
  resolve: (question: AdviceQuestion | undefined) => void;
  timer: NodeJS.Timeout;
}

/** Time for the ways between leader, instance and advisor, beyond the advisor's own. */
const TRANSIT_ALLOWANCE_MS = 250;

/** Times that a question is handed out before it is given up. */
const MAX_HANDOUTS = 4;

/**
 * Spreads questions to the advisor over all instances. The advisor answers one call at a time for
 * each calling instance, so every instance takes one question, asks, reports and takes the next;
 * the most urgent question goes first.
 */
export class AdviceBroker implements Disposable {
  private readonly waiting: Pending[] = [];
  private readonly handedOut = new Map<number, Pending>();
  private readonly waiters: Waiter[] = [];
  private nextId = 1;

  /** Number of questions that no instance has taken yet. */
  get backlog(): number {
    return this.waiting.length;
  }

  /**
   * Resolves with the answer, or with undefined if there was none.
   *
   * @param urgency - Lower values are asked first.
   */
  ask(
    step: string,
    endpoints: string[],
    policy: AdvicePolicy,
    urgency: number,
  ): Promise<AdviceAnswer | undefined> {
    const callMs = policy.decideMs + policy.perEndpointMs * endpoints.length;
    const id = this.nextId;
    this.nextId += 1;
    const question = { id, step, endpoints, timeoutMs: callMs + TRANSIT_ALLOWANCE_MS };
    return new Promise((resolve) => {
      const pending: Pending = { question, urgency, resolve, handedOutMs: 0, handouts: 0 };
      const position = this.waiting.findIndex((other) => other.urgency > urgency);
      this.waiting.splice(position < 0 ? this.waiting.length : position, 0, pending);
      this.match();
    });
  }

  /** Takes up a report and resolves with the next question, or with undefined after `waitMs`. */
  async exchange(reports: AdviceReport[], waitMs: number): Promise<AdviceQuestion | undefined> {
    for (const report of reports) this.settle(report);
    return new Promise((resolve) => {
      const waiter: Waiter = {
        resolve,
        timer: setTimeout(() => {
          this.waiters.splice(this.waiters.indexOf(waiter), 1);
          resolve(undefined);
        }, waitMs),
      };
      this.waiters.push(waiter);
      this.match();
    });
  }

  [Symbol.dispose](): void {
    for (const { resolve, timer } of this.waiters.splice(0)) {
      clearTimeout(timer);
      resolve(undefined);
    }
    for (const { deadline, resolve } of this.handedOut.values()) {
      clearTimeout(deadline);
      resolve(undefined);
    }
    this.handedOut.clear();
    for (const { resolve } of this.waiting.splice(0)) resolve(undefined);
  }

  private match(): void {
    while (this.waiters.length > 0 && this.waiting.length > 0) {
      const waiter = this.waiters.shift()!;
      const pending = this.waiting.shift()!;
      clearTimeout(waiter.timer);
      const { question } = pending;
      pending.handedOutMs = performance.now();
      pending.handouts += 1;
      pending.deadline = setTimeout(() => this.giveUp(question.id), question.timeoutMs);
      this.handedOut.set(question.id, pending);
      waiter.resolve(question);
    }
  }

  /** Hands a question to another instance, as the one that has it may be gone. */
  private giveUp(id: number): void {
    const pending = this.handedOut.get(id);
    if (!pending) return;
    this.handedOut.delete(id);
    if (pending.handouts >= MAX_HANDOUTS) {
      pending.resolve(undefined);
      return;
    }
    // A late answer to the earlier handout must not be taken for one to the next.
    pending.question = { ...pending.question, id: this.nextId };
    this.nextId += 1;
    this.waiting.unshift(pending);
    this.match();
  }

  private settle({ id, good, durationMs, validMs }: AdviceReport): void {
    const pending = this.handedOut.get(id);
    if (!pending) return;
    this.handedOut.delete(id);
    clearTimeout(pending.deadline);
    if (!good || validMs === undefined) {
      pending.resolve(undefined);
      return;
    }
    // The answer cannot have come earlier, whatever the ways took.
    const answeredMs = pending.handedOutMs + durationMs;
    pending.resolve({
      asked: pending.question.endpoints,
      good,
      expiresMs: answeredMs + validMs,
    });
  }
}
