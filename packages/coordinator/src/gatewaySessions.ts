import type { InstanceNoteStatus, PollParams, PollResult } from '@lagoongap/model/messages.js';
import type { ClusterState } from '@lagoongap/state/clusterState.js';

import { EXPIRY_MARGIN_FACTOR, type CoordinatorTiming } from './coordinatorTiming.js';
import type { ValidityGuard } from './validityGuard.js';

interface Session {
  bootId: string;
  number: number;
  /** Monotonic time by which the gateway has certainly fenced itself. */
  fencedAtMs: number;
}

/** Options of {@link GatewaySessions}. */
export interface GatewaySessionsOptions {
  instanceId: string;
  term: () => number;
  state: ClusterState;
  guard: ValidityGuard;
  timing: CoordinatorTiming;
  /** Ids of all instances. */
  instances: string[];
}

/** Grants validity to gateways and tracks on which of them a release note is in force. */
export class GatewaySessions {
  private readonly opts: GatewaySessionsOptions;
  private readonly sessions = new Map<string, Session>();
  private readonly startedAtMs = performance.now();

  constructor(opts: GatewaySessionsOptions) {
    this.opts = opts;
  }

  /**
   * Grants validity to a gateway, counted from the time at which a majority last confirmed the
   * leadership: a leader that is cut off must not extend the validity of its own gateway. The
   * response carries the release notes that the gateway lacks, or the whole configuration if these
   * notes are no longer kept.
   */
  poll(params: PollParams): PollResult {
    const { guard, state, timing, instanceId, term } = this.opts;
    guard.assertValid();
    const { instance, bootId, number } = params;
    const fencedAtMs = performance.now() + this.validityWithMarginMs;
    this.sessions.set(instance, { bootId, number, fencedAtMs });
    const result: PollResult = {
      leader: instanceId,
      term: term(),
      validityMs: Math.max(0, timing.gatewayValidityMs - guard.readConfirmationAgeMs()),
      number: state.config.number,
    };
    if (number === state.config.number) return result;
    const notes = state.configTable.listNotesAfter(number);
    return notes ? { ...result, notes } : { ...result, config: state.config };
  }

  /** Returns whether a gateway process may still dispatch work. */
  isOwnerAlive(owner: string): boolean {
    const separator = owner.lastIndexOf(':');
    const session = this.sessions.get(owner.slice(0, separator));
    // The previous leader may have granted validity shortly before this leader was elected.
    if (!session) return performance.now() < this.startedAtMs + this.validityWithMarginMs;
    return session.bootId === owner.slice(separator + 1) && performance.now() < session.fencedAtMs;
  }

  /** Returns for each instance whether the release note is in force there. */
  listNoteStates(number: number): InstanceNoteStatus[] {
    return this.opts.instances.map((instance) => {
      const session = this.sessions.get(instance);
      const reported = session?.number ?? 0;
      return { instance, number: reported, state: this.resolveNoteState(session, number) };
    });
  }

  /** Returns the remaining validity of an instance in milliseconds. */
  getRemainingValidityMs(instance: string): number {
    const session = this.sessions.get(instance);
    return session ? Math.max(0, Math.round(session.fencedAtMs - performance.now())) : 0;
  }

  private get validityWithMarginMs(): number {
    return this.opts.timing.gatewayValidityMs * EXPIRY_MARGIN_FACTOR;
  }

  private resolveNoteState(
    session: Session | undefined,
    number: number,
  ): InstanceNoteStatus['state'] {
    const nowMs = performance.now();
    const fencedAtMs = session?.fencedAtMs ?? this.startedAtMs + this.validityWithMarginMs;
    if (nowMs >= fencedAtMs) return 'fenced';
    return session && session.number >= number ? 'in-force' : 'pending';
  }
}
