import type { ClusterStatus, RemoveReplicaResult } from '@lagoongap/model/messages.js';

import { ClientError } from '../clientError.js';
import type { CommandContext } from '../commandContext.js';

/** `drain <instance>`: asks an instance to finish its requests and stop. */
export async function drainInstance(context: CommandContext, id: string): Promise<void> {
  const path = `/v1/instances/${encodeURIComponent(id)}/drain`;
  const result = await context.call<object>({ method: 'POST', path, retryPolicy: 'safe' });
  context.output.result(result, `instance ${id} is draining`);
}

type ReplicaState = 'voter' | 'joining' | 'lost' | 'removed';

function describeReplica(status: ClusterStatus, id: string): { state: ReplicaState; text: string } {
  const isOwn = (replicaId: string): boolean => replicaId.startsWith(`${id}/`);
  const instance = status.instances.find((each) => each.id === id);
  const isReachable = instance?.isReachable === true;
  if (status.learners.some(isOwn)) {
    return { state: 'joining', text: 'its replica is a learner and becomes a voter by itself' };
  }
  if (!status.voters.some(isOwn)) {
    const text = 'it has no replica in the membership; it joins by itself when the instance runs';
    return { state: 'removed', text };
  }
  if (isReachable) return { state: 'voter', text: 'its replica is a voter' };
  const text =
    'its replica is a voter, but the instance cannot be reached; start it, with an empty data ' +
    'folder if the disk is lost, or repeat with --remove if it will not come back';
  return { state: 'lost', text };
}

async function removeReplica(context: CommandContext, id: string): Promise<void> {
  const result = await context
    .call<RemoveReplicaResult>({
      method: 'POST',
      path: `/v1/replicas/${encodeURIComponent(id)}/remove`,
      // Safe to repeat: a replica that has rejoined meanwhile is alive, and its removal is refused.
      retryPolicy: 'safe',
    })
    .catch((err: unknown) => {
      if (!(err instanceof ClientError) || err.reason !== 'conflict') throw err;
      // Here a conflict is with the state of the cluster, not with an earlier submission.
      throw new ClientError('refused', err.message, { cause: err, refusal: err.refusal });
    });
  const { removed, voters } = result;
  const outcome =
    removed.length === 0 ? 'nothing is left to remove' : `removed ${removed.join(' ')}`;
  context.output.result(result, `instance ${id}: ${outcome}; voters ${voters.join(' ')}`);
}

/** `replace <instance>`: shows how to repair a replica; `--remove` removes a lost one. */
export async function replaceReplica(context: CommandContext, id: string): Promise<void> {
  if (context.options.has('--remove')) {
    await removeReplica(context, id);
    return;
  }
  const call = { method: 'GET', path: '/v1/status', retryPolicy: 'safe' } as const;
  const status = await context.call<ClusterStatus>(call);
  const instance = status.instances.find((each) => each.id === id);
  if (!instance) throw new ClientError('refused', `there is no instance ${id}`);
  if (instance.roles?.includes('replica') === false) {
    throw new ClientError('refused', `instance ${id} is configured without a replica`);
  }
  const { state, text } = describeReplica(status, id);
  const { voters, learners } = status;
  context.output.result({ instance: id, state, voters, learners }, `instance ${id}: ${text}`);
}
