import type { AttemptAction, StartOrder } from '@lagoongap/model/endpoint.js';
import type { Log } from '@lagoongap/model/log.js';
import type { EndpointClient } from '@lagoongap/routing/endpointClient.js';
import type { ClusterState } from '@lagoongap/state/clusterState.js';
import type { AttemptRecord } from '@lagoongap/state/records.js';

import type { AttemptCloser } from './attemptCloser.js';
import { CoordinatorError } from './coordinatorError.js';
import { MISSING_ATTEMPT_GRACE_MS, ORDER_TIMEOUT_MS } from './coordinatorTiming.js';
import type { ValidityGuard } from './validityGuard.js';

/** Options of {@link TaskDispatcher}. */
export interface TaskDispatcherOptions {
  state: ClusterState;
  endpointClient: EndpointClient;
  closer: AttemptCloser;
  guard: ValidityGuard;
  leaseMs: number;
  log: Log;
  /** Called when an attempt has certainly not been started on its endpoint. */
  onNotRun: (attempt: AttemptRecord) => void;
}

interface Order {
  sentAtMs: number;
  isConfirmed: boolean;
  /** Not sent, as a data centre was evacuated. */
  isWithheld?: boolean;
}

const EVACUATED_MESSAGE = 'the data centre was evacuated before the order';

function readRunState(err: unknown): string | undefined {
  return (err as { runState?: string }).runState;
}

/** Sends start orders for committed attempts of jobs, and actions to running attempts. */
export class TaskDispatcher {
  private readonly opts: TaskDispatcherOptions;
  private readonly orders = new Map<string, Order>();
  private readonly electedAtMs = performance.now();

  constructor(opts: TaskDispatcherOptions) {
    this.opts = opts;
  }

  /**
   * Sends the start order of a committed attempt. An attempt that certainly did not start is closed
   * here; in other cases of failure, later heartbeats show whether it runs.
   */
  async dispatch(attempt: AttemptRecord): Promise<void> {
    const { state, endpointClient, guard } = this.opts;
    const endpoint = state.endpoints.get(attempt.endpointId);
    if (!endpoint) {
      await this.closeNotRun(attempt, 'the endpoint is gone');
      return;
    }
    const order: Order = { sentAtMs: performance.now(), isConfirmed: false };
    this.orders.set(attempt.id, order);
    try {
      const result = await endpointClient.startTask(
        endpoint.announcement.url,
        this.createOrder(attempt),
        {
          timeoutMs: ORDER_TIMEOUT_MS,
          beforeSend: () => {
            guard.assertValid();
            order.isWithheld = this.isEvacuated(attempt);
            if (order.isWithheld) throw new CoordinatorError(EVACUATED_MESSAGE);
          },
        },
      );
      if (result !== 'started') await this.closeNotRun(attempt, `the endpoint answered ${result}`);
    } catch (err) {
      if (order.isWithheld) await this.closeUnsent(attempt, EVACUATED_MESSAGE);
      else await this.handleFailure(attempt, err as Error);
    }
  }

  /** Sends an action for a running attempt; heartbeat responses repeat lost stop actions. */
  async sendAction(attemptId: string, action: AttemptAction): Promise<void> {
    const { state, endpointClient, guard, log } = this.opts;
    const attempt = state.attempts.get(attemptId);
    const endpoint = attempt && state.endpoints.get(attempt.endpointId);
    if (!endpoint) return;
    try {
      await endpointClient.sendAction(endpoint.announcement.url, attemptId, action, {
        timeoutMs: ORDER_TIMEOUT_MS,
        beforeSend: () => guard.assertValid(),
      });
    } catch (err) {
      log.warn('could not send an action to an endpoint', {
        attempt: attemptId,
        endpoint: attempt.endpointId,
        action,
        err: (err as Error).message,
      });
    }
  }

  /** Records that a heartbeat listed the attempt; returns whether this is the first time. */
  confirmRunning(attemptId: string): boolean {
    const order = this.orders.get(attemptId);
    if (order?.isConfirmed) return false;
    this.orders.set(attemptId, {
      sentAtMs: order?.sentAtMs ?? this.electedAtMs,
      isConfirmed: true,
    });
    return true;
  }

  /** Returns whether the order was not sent, as a data centre was evacuated. */
  removeOrder(attemptId: string): boolean {
    const isWithheld = this.orders.get(attemptId)?.isWithheld ?? false;
    this.orders.delete(attemptId);
    return isWithheld;
  }

  /**
   * Returns whether an attempt that is missing from a heartbeat can be declared lost. Until then,
   * its start order may be in transit, also one that a previous leader sent.
   */
  canDeclareLost(attemptId: string, nowMs: number): boolean {
    const order = this.orders.get(attemptId);
    return nowMs - (order?.sentAtMs ?? this.electedAtMs) > MISSING_ATTEMPT_GRACE_MS;
  }

  /** Returns whether the data centre of an attempt, or of another member of its gang, is evacuated. */
  private isEvacuated({ unitId, kind, endpointId }: AttemptRecord): boolean {
    const { state } = this.opts;
    if (kind !== 'gang') return state.isEvacuated(endpointId);
    for (const attempt of state.attempts.values()) {
      if (attempt.unitId === unitId && state.isEvacuated(attempt.endpointId)) return true;
    }
    return false;
  }

  private createOrder(attempt: AttemptRecord): StartOrder {
    const job = this.opts.state.jobs.get(attempt.unitId);
    return {
      attempt: attempt.id,
      token: attempt.token,
      job: attempt.unitId,
      taskIndex: attempt.taskIndex,
      team: attempt.team,
      work: attempt.work,
      size: attempt.size,
      leaseMs: this.opts.leaseMs,
      payload: job?.spec.payload,
      checkpoint: job?.tasks[attempt.taskIndex]?.checkpoint,
    };
  }

  private async handleFailure(attempt: AttemptRecord, err: Error): Promise<void> {
    const { guard, log } = this.opts;
    log.warn('could not start a task', {
      attempt: attempt.id,
      endpoint: attempt.endpointId,
      err: err.message,
    });
    // Without validity, the next leader decides whether the attempt was lost.
    if (!guard.isValid() || readRunState(err) !== 'not-run') return;
    await this.closeNotRun(attempt, err.message);
  }

  private async closeNotRun(attempt: AttemptRecord, message: string): Promise<void> {
    this.opts.onNotRun(attempt);
    await this.closeUnsent(attempt, message);
  }

  private async closeUnsent(attempt: AttemptRecord, message: string): Promise<void> {
    try {
      await this.opts.closer.close([{ attempt: attempt.id, outcome: 'not-run', message }]);
    } catch (err) {
      this.opts.log.warn('could not commit that a task did not start', {
        attempt: attempt.id,
        err: (err as Error).message,
      });
    }
  }
}
