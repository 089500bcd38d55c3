import type { ReplicatedLog } from '@lagoongap/consensus/replicatedLog.js';
import type { LeaderClient } from '@lagoongap/gateway/leaderClient.js';
import type { Log } from '@lagoongap/model/log.js';
import type { JoinReplicaParams, JoinReplicaResult } from '@lagoongap/model/messages.js';

/** Options of {@link ReplicaJoiner}. */
export interface ReplicaJoinerOptions {
  instanceId: string;
  replicaId: string;
  log: ReplicatedLog;
  leader: LeaderClient;
  logger: Log;
}

const RETRY_INTERVAL_MS = 500;
const CALL_DEADLINE_MS = 5000;

/**
 * Asks the leader to add this replica until it is a voter, and again whenever the replica has no
 * known leader, since it may have been replaced while it was partitioned.
 */
export class ReplicaJoiner implements AsyncDisposable {
  private readonly opts: ReplicaJoinerOptions;
  private timer: NodeJS.Timeout | undefined;
  private isClosed = false;

  constructor(opts: ReplicaJoinerOptions) {
    this.opts = opts;
  }

  start(): void {
    this.schedule();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.isClosed = true;
    clearTimeout(this.timer);
  }

  private schedule(): void {
    if (this.isClosed) return;
    this.timer = setTimeout(() => {
      this.joinIfNeeded()
        .catch((err: Error) => {
          this.opts.logger.warn('joining the replicated log failed; retrying', {
            err: err.message,
          });
        })
        .finally(() => this.schedule());
    }, RETRY_INTERVAL_MS);
  }

  private async joinIfNeeded(): Promise<void> {
    const { instanceId, replicaId, log, leader } = this.opts;
    if (log.members().voters.includes(replicaId) && log.leaderId !== undefined) return;
    const params: JoinReplicaParams = { instance: instanceId, replicaId };
    await leader.call<JoinReplicaResult>('replicas.join', params, {
      deadlineMs: CALL_DEADLINE_MS,
    });
  }
}
