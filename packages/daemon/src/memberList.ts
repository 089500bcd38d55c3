import type { LeaderClient } from '@lagoongap/gateway/leaderClient.js';
import type { Log } from '@lagoongap/model/log.js';

/** Time between two readings of the members. */
const REFRESH_MS = 1000;

/** Time for one reading. */
const READ_TIMEOUT_MS = 900;

/**
 * Keeps the list of replica instances: the seeds of the settings, and the members that the leader
 * names. The array is updated in place, as the leader client reads it at every call.
 */
export class MemberList implements Disposable {
  readonly instances: string[];
  private seeds: string[];
  private timer: NodeJS.Timeout | undefined;
  private lastContactMs = -Infinity;

  constructor(seeds: string[]) {
    this.seeds = seeds;
    this.instances = [...seeds];
  }

  /** Time since the leader last answered in milliseconds. */
  get silenceMs(): number {
    return performance.now() - this.lastContactMs;
  }

  /** Takes up changed seeds; members that are known stay. */
  replaceSeeds(seeds: string[]): void {
    this.seeds = seeds;
    this.update(this.instances);
  }

  /** Begins to follow the members. */
  follow(leader: LeaderClient, log: Log): void {
    let isInTouch = false;
    const read = async (): Promise<void> => {
      try {
        const members = await leader.call<string[]>(
          'cell.members',
          {},
          {
            deadlineMs: READ_TIMEOUT_MS,
          },
        );
        this.lastContactMs = performance.now();
        this.update(members);
        if (!isInTouch) log.info('leader is in touch', { members });
        isInTouch = true;
      } catch (err) {
        if (isInTouch) log.warn('leader is out of touch', { err: (err as Error).message });
        isInTouch = false;
      }
    };
    const repeat = async (): Promise<void> => {
      await read();
      this.timer = setTimeout(() => {
        repeat().catch((err: Error) => log.error('members are not read', { err: err.message }));
      }, REFRESH_MS);
    };
    repeat().catch((err: Error) => log.error('members are not read', { err: err.message }));
  }

  [Symbol.dispose](): void {
    clearTimeout(this.timer);
  }

  private update(members: string[]): void {
    const next = [...new Set([...members, ...this.seeds])];
    this.instances.splice(0, this.instances.length, ...next);
  }
}
