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

/** Maximum number of releases in one call. */
const MAX_BATCH = 500;

/** Deadline of one call, including its tries at different leaders. */
const RELEASE_DEADLINE_MS = 10_000;

const RETRY_PAUSE_MS = 200;

/** Reports ended attempts to the leader in batches, with retries until they are committed. */
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
      this.running ??= this.sendPending();
    });
  }

  /** Waits until all releases are reported; stops at the first failed call, such as `no-leader`. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.isClosed = true;
    await this.running;
  }

  private async sendPending(): Promise<void> {
    // Releases of the same event-loop iteration are sent in one call.
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
        this.opts.log.warn('failed to report ended attempts', {
          attempts: batch.length,
          err: (err as Error).message,
        });
        // After a shutdown, the leader resolves the rest from the endpoints' heartbeats.
        if (this.isClosed) break;
        this.pending.unshift(...batch);
        await delay(RETRY_PAUSE_MS);
      }
    }
    this.running = undefined;
  }
}
