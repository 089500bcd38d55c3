import { ClientError } from './clientError.js';
import type { CommandContext } from './commandContext.js';
import type { GatewayCall } from './gatewayClient.js';

/** Shortest time between two calls. */
const PAUSE_MS = 250;

/** What to wait for. */
export interface PollOptions<Answer> {
  /** Builds the call for the time that is left. */
  createCall: (remainingMs: number) => GatewayCall;
  isDone: (answer: Answer) => boolean;
  /** Describes the newest answer, if there is one, for the error of a timeout. */
  describe: (answer: Answer | undefined) => string;
  /** The work was accepted by this command, so an unreachable gateway is no reason to stop. */
  isAccepted: boolean;
}

/**
 * Repeats a call that reads until its answer is the awaited one.
 *
 * @throws {ClientError} with reason `timeout` if the command's time is over.
 */
export async function poll<Answer>(
  context: CommandContext,
  opts: PollOptions<Answer>,
): Promise<Answer> {
  const { client } = context;
  let last: Answer | undefined;
  let cause: Error | undefined;
  while (client.remainingMs > 0) {
    const startedMs = performance.now();
    try {
      last = await context.call<Answer>(opts.createCall(client.remainingMs));
      if (opts.isDone(last)) return last;
    } catch (err) {
      const isUnreachable = err instanceof ClientError && err.reason === 'unreachable';
      const mayContinue = opts.isAccepted || (last !== undefined && client.remainingMs === 0);
      if (!isUnreachable || !mayContinue) throw err;
      cause = err;
    }
    const pauseMs = PAUSE_MS - (performance.now() - startedMs);
    await new Promise((resolve) => {
      setTimeout(resolve, Math.max(0, Math.min(pauseMs, client.remainingMs)));
    });
  }
  throw new ClientError('timeout', opts.describe(last), { cause });
}
