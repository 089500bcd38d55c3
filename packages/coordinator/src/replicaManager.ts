import { instanceIdOf } from '@lagoongap/consensus/replicaId.js';
import type { ReplicatedLog } from '@lagoongap/consensus/replicatedLog.js';
import type { Log } from '@lagoongap/model/log.js';
import type {
  JoinReplicaParams,
  JoinReplicaResult,
  RemoveReplicaParams,
  RemoveReplicaResult,
} from '@lagoongap/model/messages.js';
import { RefusalError } from '@lagoongap/model/refusalError.js';

/** Options of {@link ReplicaManager}. */
export interface ReplicaManagerOptions {
  log: ReplicatedLog;
  logger: Log;
  /** Ids of the instances that may hold a replica; any instance if absent. */
  replicaInstances?: string[];
  instanceId: string;
  isReachable: (instance: string) => boolean;
}

/** Time for which a voter must be unreachable before it is removed or replaced. */
const UNREACHABLE_VOTER_REMOVAL_MS = 1000;

/** Time for which a learner must be unreachable before it is removed. */
const UNREACHABLE_LEARNER_REMOVAL_MS = 10_000;

function refuseRemoval(type: 'not-found' | 'conflict', message: string): never {
  throw new RefusalError({ type, runState: 'not-run', message });
}

/**
 * Changes the membership of the replicated log: adds replicas, also those of instances whose disk
 * was lost, and removes replicas. The former identity of an instance with an empty disk is removed
 * first: it can never vote again, and counting it would let a second loss stop the cluster.
 *
 * The number of voters is kept odd where possible. One voter more would tolerate no more failures,
 * and a partition into equal halves would leave neither half a majority. A replica that is left
 * over stays a learner, on standby for the first voter that becomes unreachable.
 */
export class ReplicaManager {
  private readonly opts: ReplicaManagerOptions;
  private current: Promise<unknown> = Promise.resolve();
  /** Monotonic time since which an instance with a replica is unreachable, by instance. */
  private readonly unreachableSinceMs = new Map<string, number>();

  constructor(opts: ReplicaManagerOptions) {
    this.opts = opts;
  }

  /**
   * Performs the next step of a join; the replica repeats the call until it is a voter, also while
   * it is on standby.
   */
  join(params: JoinReplicaParams): Promise<JoinReplicaResult> {
    const step = this.current.then(() => this.advanceJoin(params));
    // Membership changes run one at a time.
    this.current = step.catch(() => {});
    return step;
  }

  /**
   * Removes an unreachable voter from a group of even size. Such a group tolerates no more failures
   * than the group without the voter but needs a larger majority. It results when an instance is
   * replaced by one that joins before the old one leaves. Called periodically by the leader.
   */
  shrinkEvenGroup(): Promise<void> {
    const step = this.current.then(() => this.removeUnreachableVoter());
    this.current = step.catch(() => {});
    return step;
  }

  /**
   * Removes the replica of an instance that will not come back. Refused while the instance is
   * reachable, or unless a majority of the remaining voters is reachable.
   */
  remove(params: RemoveReplicaParams): Promise<RemoveReplicaResult> {
    const removal = this.current.then(() => this.removeReplica(params));
    this.current = removal.catch(() => {});
    return removal;
  }

  private async removeReplica({ instance }: RemoveReplicaParams): Promise<RemoveReplicaResult> {
    const { log, logger, replicaInstances } = this.opts;
    const { voters, learners } = log.members();
    const removed = [...voters, ...learners].filter((id) => instanceIdOf(id) === instance);
    if (removed.length === 0) {
      if (replicaInstances && !replicaInstances.includes(instance)) {
        refuseRemoval('not-found', `instance ${instance} has no replica`);
      }
      return { instance, removed, voters, learners };
    }
    this.assertRemovable(instance, voters);
    for (const id of removed) {
      logger.warn('removing a replica at the request of an operator', { replica: id });
      await log.removeMember(id);
    }
    return { instance, removed, ...log.members() };
  }

  private async removeUnreachableVoter(): Promise<void> {
    const { log, logger } = this.opts;
    const { voters, learners } = log.members();
    this.trackReachability();
    // A learner that has failed would be listed, and called by gateways, for good.
    for (const replica of this.listUnreachable(learners, UNREACHABLE_LEARNER_REMOVAL_MS)) {
      logger.warn('removing an unreachable learner', { replica });
      await log.removeMember(replica);
    }
    const unreachable = this.listUnreachable(voters, UNREACHABLE_VOTER_REMOVAL_MS);
    if (voters.length % 2 !== 0 || unreachable.length !== 1) return;
    const [replica] = unreachable as [string];
    logger.warn('removing an unreachable voter from a group of even size', { replica, voters });
    await log.removeMember(replica);
  }

  private trackReachability(): void {
    const { voters, learners } = this.opts.log.members();
    const instances = new Set([...voters, ...learners].map(instanceIdOf));
    for (const instance of [...this.unreachableSinceMs.keys()]) {
      if (!instances.has(instance) || this.isSelfOrReachable(instance)) {
        this.unreachableSinceMs.delete(instance);
      }
    }
    for (const instance of instances) {
      if (!this.isSelfOrReachable(instance) && !this.unreachableSinceMs.has(instance)) {
        this.unreachableSinceMs.set(instance, performance.now());
      }
    }
  }

  /** Returns the replicas whose instances have been unreachable for at least `durationMs`. */
  private listUnreachable(replicas: string[], durationMs: number): string[] {
    const nowMs = performance.now();
    return replicas.filter((id) => {
      const sinceMs = this.unreachableSinceMs.get(instanceIdOf(id));
      return sinceMs !== undefined && nowMs - sinceMs >= durationMs;
    });
  }

  private assertRemovable(instance: string, voters: string[]): void {
    if (this.isSelfOrReachable(instance)) {
      refuseRemoval('conflict', `instance ${instance} is alive; stop it before its removal`);
    }
    const remaining = voters.filter((id) => instanceIdOf(id) !== instance);
    const reachableCount = remaining.filter((id) =>
      this.isSelfOrReachable(instanceIdOf(id)),
    ).length;
    if (reachableCount * 2 > remaining.length) return;
    refuseRemoval(
      'conflict',
      `removing ${instance} would leave ${reachableCount} of ${remaining.length} voters reachable, which is no majority`,
    );
  }

  private isSelfOrReachable(instance: string): boolean {
    return instance === this.opts.instanceId || this.opts.isReachable(instance);
  }

  private async advanceJoin({
    instance,
    replicaId,
  }: JoinReplicaParams): Promise<JoinReplicaResult> {
    const { log, logger, replicaInstances } = this.opts;
    const isUnknownInstance =
      replicaInstances !== undefined && !replicaInstances.includes(instance);
    if (isUnknownInstance || !replicaId.startsWith(`${instance}/`)) {
      throw new RefusalError({
        type: 'forbidden',
        runState: 'not-run',
        message: `instance ${instance} may not hold replica ${replicaId}`,
      });
    }
    const { voters, learners } = log.members();
    if (voters.includes(replicaId)) return { state: 'voter' };
    const staleIds = [...voters, ...learners].filter(
      (id) => id.startsWith(`${instance}/`) && id !== replicaId,
    );
    for (const id of staleIds) {
      logger.warn('removing the former identity of a replica that lost its disk', { replica: id });
      await log.removeMember(id);
    }
    if (!learners.includes(replicaId)) {
      logger.info('adding a replica as learner', { replica: replicaId });
      await log.addLearner(replicaId);
      return { state: 'learner' };
    }
    if (!log.isCaughtUp(replicaId)) return { state: 'learner' };
    // A new replica replaces an unreachable voter, so that a majority stays reachable. A voter that
    // only restarts, or whose connection was lost, keeps its vote.
    this.trackReachability();
    const [unreachable] = this.listUnreachable(voters, UNREACHABLE_VOTER_REMOVAL_MS);
    if (unreachable !== undefined) {
      logger.warn('removing an unreachable voter in favour of a new replica', {
        replica: unreachable,
      });
      await log.removeMember(unreachable);
    }
    if (!this.shouldPromote()) return { state: 'learner' };
    logger.info('promoting a replica to voter', { replica: replicaId });
    await log.promote(replicaId);
    return { state: 'voter' };
  }

  /** Returns whether a promotion leads to an odd number of voters, if need be with another one. */
  private shouldPromote(): boolean {
    const { log } = this.opts;
    const { voters, learners } = log.members();
    if (voters.length % 2 === 0) return true;
    const candidates = learners.filter(
      (id) => log.isCaughtUp(id) && this.isSelfOrReachable(instanceIdOf(id)),
    );
    return candidates.length >= 2;
  }
}
