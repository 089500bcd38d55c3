import type { ReplicatedLog } from '@lagoongap/consensus/replicatedLog.js';
import type { Log } from '@lagoongap/model/log.js';
import type { JoinReplicaParams, JoinReplicaResult } from '@lagoongap/model/messages.js';
import { RefusalError } from '@lagoongap/model/refusalError.js';

/** Options of {@link ReplicaManager}. */
export interface ReplicaManagerOptions {
  log: ReplicatedLog;
  logger: Log;
  /** Ids of the instances that may hold a replica. */
  replicaInstances: string[];
}

/**
 * Brings replicas with a new, empty disk into the replicated log. The lost
 * identity is removed first: it can never vote again, and counting it
 * would let a second loss stop the cluster.
 */
export class ReplicaManager {
  private readonly opts: ReplicaManagerOptions;
  private current: Promise<unknown> = Promise.resolve();

  constructor(opts: ReplicaManagerOptions) {
    this.opts = opts;
  }

  /** Takes one step towards membership; the replica asks again until it is a voter. */
  join(params: JoinReplicaParams): Promise<JoinReplicaResult> {
    const step = this.current.then(() => this.takeStep(params));
    // Membership changes run one at a time.
    this.current = step.catch(() => {});
    return step;
  }

  private async takeStep({ instance, replicaId }: JoinReplicaParams): Promise<JoinReplicaResult> {
    const { log, logger, replicaInstances } = this.opts;
    if (!replicaInstances.includes(instance) || !replicaId.startsWith(`${instance}/`)) {
      throw new RefusalError({
        type: 'forbidden',
        runState: 'not-run',
        message: `instance ${instance} may not hold replica ${replicaId}`,
      });
    }
    const { voters, learners } = log.members();
    if (voters.includes(replicaId)) return { state: 'voter' };
    const lost = [...voters, ...learners].filter(
      (id) => id.startsWith(`${instance}/`) && id !== replicaId,
    );
    for (const id of lost) {
      logger.warn('removing the identity of a replica that lost its disk', { replica: id });
      await log.removeMember(id);
    }
    if (!learners.includes(replicaId)) {
      logger.info('adding a replica as learner', { replica: replicaId });
      await log.addLearner(replicaId);
      return { state: 'learner' };
    }
    if (!log.isCaughtUp(replicaId)) return { state: 'learner' };
    logger.info('promoting a replica to voter', { replica: replicaId });
    await log.promote(replicaId);
    return { state: 'voter' };
  }
}
