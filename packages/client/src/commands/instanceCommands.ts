import type { ClusterStatus, RemoveReplicaResult } from '@lagoongap/model/messages.js';

import { ClientError } from '../clientError.js';
import type { CommandContext } from '../commandContext.js';

/** `drain <instance>`: has an instance finish its requests and stop. */
export async function drainInstance(context: CommandContext, id: string): Promise<void> {
  const path = `/v1/instances/${encodeURIComponent(id)}/drain`;
  const answer = await context.call<object>({ method: 'POST', path, repetition: 'safe' });
  context.output.result(answer, `instance ${id} is draining`);
}

type RepairState = 'voter' | 'joining' | 'lost' | 'removed';

function describeRepair(status: ClusterStatus, id: string): { state: RepairState; text: string } {
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
  const answer = await context
    .call<RemoveReplicaResult>({
      method: 'POST',
      path: `/v1/replicas/${encodeURIComponent(id)}/remove`,
      // A replica that has joined anew is alive, and its removal is refused.
      repetition: 'safe',
    })
    .catch((err: unknown) => {
      if (!(err instanceof ClientError) || err.reason !== 'conflict') throw err;
      // Here a conflict is with the state of the cluster, so nothing was submitted before.
      throw new ClientError('refused', err.message, { cause: err, refusal: err.refusal });
    });
  const { removed, voters } = answer;
  const what = removed.length === 0 ? 'nothing is left to remove' : `removed ${removed.join(' ')}`;
  context.output.result(answer, `instance ${id}: ${what}; voters ${voters.join(' ')}`);
}

/** `replace <instance>`: shows the repair of a replica; `--remove` gives a lost one up. */
export async function replaceReplica(context: CommandContext, id: string): Promise<void> {
  if (context.options.has('--remove')) {
    await removeReplica(context, id);
    return;
  }
  const call = { method: 'GET', path: '/v1/status', repetition: 'safe' } as const;
  const status = await context.call<ClusterStatus>(call);
  const instance = status.instances.find((each) => each.id === id);
  if (!instance) throw new ClientError('refused', `there is no instance ${id}`);
  if (instance.roles?.includes('replica') === false) {
    throw new ClientError('refused', `instance ${id} has no replica by its settings`);
  }
  const { state, text } = describeRepair(status, id);
  const { voters, learners } = status;
  context.output.result({ instance: id, state, voters, learners }, `instance ${id}: ${text}`);
}
