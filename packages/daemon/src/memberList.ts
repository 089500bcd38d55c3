import type { LeaderClient } from '@lagoongap/gateway/leaderClient.js';
import type { Log } from '@lagoongap/model/log.js';

import { TRY_TIMEOUT_MS } from './workflowPeers.js';

/** Time between two requests for the member list. */
const REFRESH_INTERVAL_MS = 1000;

/** Deadline of one request for the member list. */
const READ_TIMEOUT_MS = 900;

/**
 * Maintains the list of replica instances: the seeds from the settings and the members that the
 * leader reports. The array is updated in place because the leader client reads it on every call.
 */
export class MemberList implements Disposable {
  readonly instances: string[];
  private readonly connect: (instance: string) => void;
  private seeds: string[];
  private timer: NodeJS.Timeout | undefined;
  private lastContactMs = -Infinity;

  /** @param connect - Called with each listed instance, so that it is dialled ahead of calls. */
  constructor(seeds: string[], connect: (instance: string) => void = () => undefined) {
    this.seeds = seeds;
    this.connect = connect;
    this.instances = [...seeds];
  }

  /** Time in milliseconds since the last response of the leader. */
  get silenceMs(): number {
    return performance.now() - this.lastContactMs;
  }

  /** Replaces the seeds; members that the list already contains stay. */
  replaceSeeds(seeds: string[]): void {
    this.seeds = seeds;
    this.update(this.instances);
  }

  /** Starts polling the leader for the member list. */
  startPolling(leader: LeaderClient, log: Log): void {
    let hasContact = false;
    const refresh = async (): Promise<void> => {
      try {
        const members = await leader.call<string[]>(
          'cell.members',
          {},
          {
            deadlineMs: READ_TIMEOUT_MS,
            tryTimeoutMs: TRY_TIMEOUT_MS,
          },
        );
        this.lastContactMs = performance.now();
        this.update(members);
        if (!hasContact) log.notice('leader is reachable', { members });
        hasContact = true;
      } catch (err) {
        if (hasContact) log.warn('leader is out of touch', { err: (err as Error).message });
        hasContact = false;
      }
    };
    const poll = async (): Promise<void> => {
      await refresh();
      this.timer = setTimeout(() => {
        poll().catch((err: Error) =>
          log.error('polling the member list failed', { err: err.message }),
        );
      }, REFRESH_INTERVAL_MS);
    };
    poll().catch((err: Error) => log.error('polling the member list failed', { err: err.message }));
  }

  [Symbol.dispose](): void {
    clearTimeout(this.timer);
  }

  private update(members: string[]): void {
    const next = [...new Set([...members, ...this.seeds])];
    this.instances.splice(0, this.instances.length, ...next);
    for (const instance of next) this.connect(instance);
  }
}
