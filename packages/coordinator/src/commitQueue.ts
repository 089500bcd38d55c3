import type { ReplicatedLog } from '@lagoongap/consensus/replicatedLog.js';
import { toError } from '@lagoongap/model/toError.js';
import type { SingleCommand } from '@lagoongap/state/commands.js';
import type { Metrics } from '@lagoongap/telemetry/metrics.js';

interface PendingCommand {
  command: SingleCommand;
  resolve: (result: unknown) => void;
  reject: (err: Error) => void;
}

/** Maximum number of commands in one log entry. */
const MAX_BATCH_COMMANDS = 2000;

/**
 * Commits commands in batches: all commands of one event-loop iteration become one log entry,
 * which costs one write, one sync and one round trip.
 */
export class CommitQueue {
  private readonly log: ReplicatedLog;
  private readonly metrics: Metrics;
  private readonly maxBatchCommands: number;
  private pending: PendingCommand[] = [];
  private isScheduled = false;

  /**
   * With `maxBatchCommands` 1, batching is disabled: a command is proposed only after the previous
   * one is committed. Benchmarks use this as their baseline.
   */
  constructor(log: ReplicatedLog, metrics: Metrics, maxBatchCommands = MAX_BATCH_COMMANDS) {
    this.log = log;
    this.metrics = metrics;
    this.maxBatchCommands = maxBatchCommands;
  }

  /**
   * Resolves with the result of the command once it is committed and applied.
   * Rejects with NotLeaderError or CommitUnknownError.
   */
  commit<Result>(command: SingleCommand): Promise<Result> {
    return new Promise<Result>((resolve, reject) => {
      this.pending.push({ command, resolve: resolve as (result: unknown) => void, reject });
      this.schedule();
    });
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => {
      if (this.maxBatchCommands === 1) {
        this.flushOneByOne().catch(() => {});
        return;
      }
      this.isScheduled = false;
      while (this.pending.length > 0) {
        this.flush(this.pending.splice(0, this.maxBatchCommands)).catch(() => {});
      }
    });
  }

  private async flushOneByOne(): Promise<void> {
    while (this.pending.length > 0) await this.flush(this.pending.splice(0, 1));
    this.isScheduled = false;
  }

  /** Resolves when the batch is committed or has failed. */
  private flush(batch: PendingCommand[]): Promise<void> {
    const command = { type: 'batch', commands: batch.map((pending) => pending.command) };
    const startMs = performance.now();
    return this.log.propose(command).then(
      ({ result }) => {
        this.metrics.observeCommit(performance.now() - startMs);
        const results = result as unknown[];
        batch.forEach((pending, i) => pending.resolve(results[i]));
      },
      (reason: unknown) => {
        const err = toError(reason);
        for (const pending of batch) pending.reject(err);
      },
    );
  }
}
