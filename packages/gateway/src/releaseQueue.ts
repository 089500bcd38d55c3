import { delay } from '@lagoongap/model/delay.js';

import type { Log } from '@lagoongap/model/log.js';
import type { Release, ReleaseParams } from '@lagoongap/model/messages.js';

import type { LeaderClient } from './leaderClient.js';

/** Options of {@link ReleaseQueue}. */
export interface ReleaseQueueOptions {
  owner: string;
  leader: LeaderClient;
  log: Log;
}

/** Most releases in one call. */
const MAX_BATCH = 500;

/** Time for one call, all tries at different leaders included. */
const RELEASE_DEADLINE_MS = 10_000;

const RETRY_PAUSE_MS = 200;

/** Reports the ends of attempts in batches, again and again until the leader has them. */
export class ReleaseQueue implements AsyncDisposable {
  private readonly opts: ReleaseQueueOptions;
  private pending: { release: Release; resolve: () => void }[] = [];
  private running: Promise<void> | undefined;
  private isClosed = false;

  constructor(opts: ReleaseQueueOptions) {
    this.opts = opts;
  }

  /** Resolves when the leader has committed the release. */
  add(release: Release): Promise<void> {
    return new Promise((resolve) => {
      this.pending.push({ release, resolve });
      this.running ??= this.run();
    });
  }

  /** Waits until everything is reported; calls may still fail while there is no leader. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.isClosed = true;
    await this.running;
  }

  private async run(): Promise<void> {
    // Releases of the same event-loop turn go into one call.
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    while (this.pending.length > 0) {
      const batch = this.pending.splice(0, MAX_BATCH);
      const params: ReleaseParams = {
        owner: this.opts.owner,
        releases: batch.map(({ release }) => release),
      };
      try {
        await this.opts.leader.call('placements.release', params, {
          deadlineMs: RELEASE_DEADLINE_MS,
        });
        for (const { resolve } of batch) resolve();
      } catch (err) {
        this.opts.log.warn('could not report the end of attempts', {
          attempts: batch.length,
          err: (err as Error).message,
        });
        // On shutdown the leader settles the rest by the endpoints' heartbeats.
        if (this.isClosed) break;
        this.pending.unshift(...batch);
        await delay(RETRY_PAUSE_MS);
      }
    }
    this.running = undefined;
  }
}
