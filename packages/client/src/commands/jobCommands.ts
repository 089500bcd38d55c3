import { randomUUID } from 'node:crypto';

import type {
  CancelledState,
  CancelResult,
  JobView,
  SubmitJobResult,
} from '@lagoongap/model/messages.js';
import { toError } from '@lagoongap/model/toError.js';
import { parseTomlTable } from '@lagoongap/release-notes/parseTomlTable.js';

import { TERMINAL_JOB_STATES } from '../api.js';
import { ClientError } from '../clientError.js';
import type { CommandContext } from '../commandContext.js';
import { formatTable } from '../output.js';
import { poll } from '../poll.js';

/** Longest time for which a gateway is asked to delay its response until the job ends. */
const MAX_SERVER_WAIT_MS = 10000;

/** Time reserved for a delayed response to arrive before the command times out. */
const RESPONSE_MARGIN_MS = 500;

function jobPath(id: string): string {
  return `/v1/jobs/${encodeURIComponent(id)}`;
}

function parseJob(file: string, text: string): unknown {
  try {
    return file.endsWith('.toml') ? parseTomlTable(text) : (JSON.parse(text) as unknown);
  } catch (err) {
    throw new ClientError('usage', `cannot read a job from ${file}`, { cause: toError(err) });
  }
}

function formatJob(job: JobView): string {
  const reason = job.message === undefined ? '' : ` (${job.message})`;
  const head = `job ${job.id} of ${job.team} in ${job.queue}: ${job.state}${reason}`;
  if (!job.tasks?.length) return head;
  const rows = job.tasks.map((task, index) => [
    index,
    task.state,
    task.endpoint,
    task.failures,
    task.message,
  ]);
  return `${head}\n\n${formatTable(['TASK', 'STATE', 'ENDPOINT', 'FAILURES', 'MESSAGE'], rows)}`;
}

async function pollJob(context: CommandContext, id: string, isAccepted: boolean): Promise<void> {
  const job = await poll<JobView>(context, {
    createCall: (remainingMs) => {
      const serverWaitMs = Math.floor(
        Math.max(0, Math.min(MAX_SERVER_WAIT_MS, remainingMs - RESPONSE_MARGIN_MS)),
      );
      return {
        method: 'GET',
        path: `${jobPath(id)}?waitMs=${serverWaitMs}`,
        serverWaitMs,
        retryPolicy: 'safe',
      };
    },
    isDone: (view) => TERMINAL_JOB_STATES.includes(view.state),
    describeTimeout: (latest) =>
      `job ${id} is ${latest?.state ?? 'accepted'} at the end of the timeout`,
    isAccepted,
  });
  context.output.result(job, formatJob(job));
  if (job.state === 'succeeded') return;
  const reason = job.state === 'unknown' ? 'unknown' : 'workFailed';
  throw new ClientError(reason, `job ${id} ended as ${job.state}`);
}

/** `jobs <id>`: shows a job. */
export async function showJob(context: CommandContext, id: string): Promise<void> {
  const call = { method: 'GET', path: jobPath(id), retryPolicy: 'safe' } as const;
  const job = await context.call<JobView>(call);
  context.output.result(job, formatJob(job));
}

/** `submit <job>`: submits a job with an idempotency key, so that it can be resent safely. */
export async function submitJob(context: CommandContext, file: string): Promise<void> {
  const job = parseJob(file, await context.readText(file));
  const givenKey = context.options.text('--idempotency-key');
  const idempotencyKey = givenKey ?? randomUUID();
  if (givenKey === undefined) {
    context.output.notice(
      `idempotency key ${idempotencyKey}; resubmit with --idempotency-key ${idempotencyKey}`,
    );
  }
  const result = await context.call<SubmitJobResult>({
    method: 'POST',
    path: '/v1/jobs',
    headers: { 'content-type': 'application/json', 'idempotency-key': idempotencyKey },
    body: JSON.stringify(job),
    retryPolicy: 'safe',
  });
  if (!context.options.has('--wait')) {
    context.output.result({ ...result, idempotencyKey }, `job ${result.id} is accepted`);
    return;
  }
  context.output.notice(`job ${result.id} is accepted`);
  await pollJob(context, result.id, true);
}

/** `wait <id>`: waits until a job has ended. */
export async function waitForJob(context: CommandContext, id: string): Promise<void> {
  await pollJob(context, id, false);
}

/**
 * Returns whether a cancellation was accepted for a job in this state. A running job keeps its
 * state until its tasks have been stopped.
 */
function isCancelAccepted(state: CancelledState): boolean {
  return state === 'cancelled' || state === 'running' || state === 'waiting';
}

function describeRefused(state: CancelledState): string {
  switch (state) {
    case 'not-found':
      return 'not found';
    case 'not-recorded':
      return 'not found, and too many unknown jobs are cancelled; try again later';
    default:
      return `has ended as ${state}`;
  }
}

/** `cancel <id...>`: cancels jobs. */
export async function cancelJobs(context: CommandContext, ids: string[]): Promise<void> {
  const result = await context.call<CancelResult>({
    method: 'POST',
    path: '/v1/jobs/cancel',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ ids }),
    retryPolicy: 'safe',
  });
  const refused = result.jobs.filter(({ state }) => !isCancelAccepted(state));
  const lines = [
    `${result.jobs.length - refused.length} of ${ids.length} jobs are cancelled`,
    ...refused.map(({ id, state }) => `${id}: ${describeRefused(state)}`),
  ];
  context.output.result(result, lines.join('\n'));
  if (refused.length > 0) {
    throw new ClientError('refused', `${refused.length} jobs were not cancelled`);
  }
}
