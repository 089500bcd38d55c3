import { ClientError } from './clientError.js';
import type { CommandContext } from './commandContext.js';
import type { GatewayCall } from './gatewayClient.js';

/** Minimum time between the starts of two calls. */
const POLL_INTERVAL_MS = 250;

/** Options of {@link poll}. */
export interface PollOptions<Result> {
  /** Creates the call; `remainingMs` is the time until the command times out. */
  createCall: (remainingMs: number) => GatewayCall;
  isDone: (result: Result) => boolean;
  /** Returns the message of the timeout error, given the latest result if there is one. */
  describeTimeout: (latest: Result | undefined) => string;
  /** Whether the command has submitted accepted work; then unreachable gateways are retried. */
  isAccepted: boolean;
}

/**
 * Repeats a read-only call until its result satisfies `isDone`.
 *
 * @throws {ClientError} with reason `timeout` if the command times out first.
 */
export async function poll<Result>(
  context: CommandContext,
  opts: PollOptions<Result>,
): Promise<Result> {
  const { client } = context;
  let latest: Result | undefined;
  let cause: Error | undefined;
  while (client.remainingMs > 0) {
    const startMs = performance.now();
    try {
      latest = await context.call<Result>(opts.createCall(client.remainingMs));
      if (opts.isDone(latest)) return latest;
    } catch (err) {
      const isUnreachable = err instanceof ClientError && err.reason === 'unreachable';
      const mayContinue = opts.isAccepted || (latest !== undefined && client.remainingMs === 0);
      if (!isUnreachable || !mayContinue) throw err;
      cause = err;
    }
    const delayMs = POLL_INTERVAL_MS - (performance.now() - startMs);
    await new Promise((resolve) => {
      setTimeout(resolve, Math.max(0, Math.min(delayMs, client.remainingMs)));
    });
  }
  throw new ClientError('timeout', opts.describeTimeout(latest), { cause });
}
