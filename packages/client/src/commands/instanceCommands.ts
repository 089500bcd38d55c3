import type { CommandContext } from '../commandContext.js';

/** `drain <instance>`: has an instance finish its requests and stop. */
export async function drainInstance(context: CommandContext, id: string): Promise<void> {
  const path = `/v1/instances/${encodeURIComponent(id)}/drain`;
  const answer = await context.call<object>({ method: 'POST', path, repetition: 'safe' });
  context.output.result(answer, `instance ${id} is draining`);
}

/** `replace <instance>`: replaces a replica that has lost its disk. */
export async function replaceReplica(context: CommandContext, id: string): Promise<void> {
  const answer = await context.call<object>({
    method: 'POST',
    path: '/v1/replicas/replace',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ instance: id }),
    // A second replacement would remove the replica that the first one has just added.
    repetition: 'only-if-unsent',
  });
  context.output.result(answer, `the replica of instance ${id} is being replaced`);
}
