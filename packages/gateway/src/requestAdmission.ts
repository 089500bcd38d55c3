import { RefusalError } from '@lagoongap/model/refusalError.js';

/** Options of {@link RequestAdmission}. */
export interface RequestAdmissionOptions {
  /** Most requests that this instance holds at a time, waiting ones included. */
  maxHeld: number;
  /** Largest part of them that one team may hold, above 0 and up to 1. */
  maxTeamShare: number;
}

/** Time after which a caller may try again. */
const RETRY_AFTER_MS = 1000;

/**
 * Bounds the requests that a gateway holds. Requests wait here for their placement, so
 * the bound on one team keeps its backlog from shutting out the others.
 */
export class RequestAdmission {
  private readonly opts: RequestAdmissionOptions;
  private readonly heldByTeam = new Map<string, number>();
  private held = 0;

  constructor(opts: RequestAdmissionOptions) {
    this.opts = opts;
  }

  /** Number of requests that are held. */
  get heldCount(): number {
    return this.held;
  }

  /** Takes in a request; throws a `queue-full` refusal where a bound is reached. */
  admit(team: string): Disposable {
    const { maxHeld, maxTeamShare } = this.opts;
    const heldByTeam = this.heldByTeam.get(team) ?? 0;
    if (this.held >= maxHeld) this.refuse('this instance holds as many requests as it can');
    if (heldByTeam >= Math.ceil(maxHeld * maxTeamShare)) {
      this.refuse(`this instance holds as many requests of team ${team} as it may`);
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
    const left = this.heldByTeam.get(team)! - 1;
    if (left === 0) this.heldByTeam.delete(team);
    else this.heldByTeam.set(team, left);
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
