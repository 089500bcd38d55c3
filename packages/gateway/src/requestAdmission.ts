import { RefusalError } from '@lagoongap/model/refusalError.js';

/** Options of {@link RequestAdmission}. */
export interface RequestAdmissionOptions {
  /** Maximum number of concurrent requests of this instance, including waiting ones. */
  maxHeld: number;
  /** Maximum fraction of them for one team, above 0 and up to 1. */
  maxTeamShare: number;
}

/** Time after which a refused caller may retry. */
const RETRY_AFTER_MS = 1000;

/**
 * Limits the concurrent requests of a gateway. Requests wait here for their placement, so
 * the limit per team prevents one team's backlog from blocking the other teams.
 */
export class RequestAdmission {
  private readonly opts: RequestAdmissionOptions;
  private readonly heldByTeam = new Map<string, number>();
  private held = 0;

  constructor(opts: RequestAdmissionOptions) {
    this.opts = opts;
  }

  /** Number of admitted requests that have not ended. */
  get heldCount(): number {
    return this.held;
  }

  /** Admits a request until it is disposed of; throws a `queue-full` refusal at a limit. */
  admit(team: string): Disposable {
    const { maxHeld, maxTeamShare } = this.opts;
    const heldByTeam = this.heldByTeam.get(team) ?? 0;
    if (this.held >= maxHeld) this.refuse('this instance is at its limit of concurrent requests');
    if (heldByTeam >= Math.ceil(maxHeld * maxTeamShare)) {
      this.refuse(`this instance is at its limit of concurrent requests of team ${team}`);
    }
    this.held += 1;
    this.heldByTeam.set(team, heldByTeam + 1);
    let isReleased = false;
    return {
      [Symbol.dispose]: () => {
        if (isReleased) return;
        isReleased = true;
        this.release(team);
      },
    };
  }

  private release(team: string): void {
    this.held -= 1;
    const remaining = this.heldByTeam.get(team)! - 1;
    if (remaining === 0) this.heldByTeam.delete(team);
    else this.heldByTeam.set(team, remaining);
  }

  private refuse(message: string): never {
    throw new RefusalError({
      type: 'queue-full',
      runState: 'not-run',
      message,
      retryAfterMs: RETRY_AFTER_MS,
    });
  }
}
