import type { EvacuationsResponse } from '../api.js';
import { ClientError } from '../clientError.js';
import type { CommandContext } from '../commandContext.js';
import { formatTable } from '../output.js';

/** `evacuations`: lists the data centres that are evacuated. */
export async function listEvacuations(context: CommandContext): Promise<void> {
  const call = { method: 'GET', path: '/v1/evacuations', retryPolicy: 'safe' } as const;
  const { evacuations } = await context.call<EvacuationsResponse>(call);
  const rows = evacuations.map(({ dataCentre, since }) => [dataCentre, since]);
  context.output.result({ evacuations }, formatTable(['DATA CENTRE', 'SINCE'], rows));
}

/** `evacuate <name>`: keeps new work away from a data centre; `--end` admits it again. */
export async function evacuate(context: CommandContext, dataCentre: string): Promise<void> {
  const isEnd = context.options.has('--end');
  const result = await context
    .call<object>({
      method: isEnd ? 'DELETE' : 'POST',
      path: `/v1/evacuations/${encodeURIComponent(dataCentre)}`,
      retryPolicy: 'safe',
    })
    .catch((err: unknown) => {
      if (!(err instanceof ClientError) || err.reason !== 'conflict') throw err;
      // Here a conflict is with the state of the cluster, not with an earlier submission.
      throw new ClientError('refused', err.message, { cause: err, refusal: err.refusal });
    });
  const text = isEnd ? 'is no longer evacuated' : 'is evacuated; running work continues';
  context.output.result(result, `data centre ${dataCentre} ${text}`);
}
