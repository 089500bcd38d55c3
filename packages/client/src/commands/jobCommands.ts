import { randomUUID } from 'node:crypto';

import type { CancelResult, JobView, SubmitJobResult } from '@lagoongap/model/messages.js';
import { toError } from '@lagoongap/model/toError.js';
import type { JobState } from '@lagoongap/model/workload.js';
import { parseTomlTable } from '@lagoongap/release-notes/parseTomlTable.js';

import { FINAL_JOB_STATES } from '../api.js';
import { ClientError } from '../clientError.js';
import type { CommandContext } from '../commandContext.js';
import { formatTable } from '../output.js';
import { poll } from '../poll.js';

/** Longest time for which a gateway is asked to hold a call. */
const MAX_HOLD_MS = 10000;

/** Time left for the answer of a held call to arrive before the command times out. */
const ANSWER_MS = 500;

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

async function awaitJob(context: CommandContext, id: string, isAccepted: boolean): Promise<void> {
  const job = await poll<JobView>(context, {
    createCall: (remainingMs) => {
      const holdMs = Math.floor(Math.max(0, Math.min(MAX_HOLD_MS, remainingMs - ANSWER_MS)));
      return { method: 'GET', path: `${jobPath(id)}?waitMs=${holdMs}`, holdMs, repetition: 'safe' };
    },
    isDone: (answer) => FINAL_JOB_STATES.includes(answer.state),
    describe: (answer) => `job ${id} is ${answer?.state ?? 'accepted'} at the end of the timeout`,
    isAccepted,
  });
  context.output.result(job, formatJob(job));
  if (job.state === 'succeeded') return;
  const reason = job.state === 'unknown' ? 'unknown' : 'workFailed';
  throw new ClientError(reason, `job ${id} ended as ${job.state}`);
}

/** `jobs <id>`: shows a job. */
export async function showJob(context: CommandContext, id: string): Promise<void> {
  const call = { method: 'GET', path: jobPath(id), repetition: 'safe' } as const;
  const job = await context.call<JobView>(call);
  context.output.result(job, formatJob(job));
}

/** `submit <job>`: submits a job under an idempotency key, so that it can be resent. */
export async function submitJob(context: CommandContext, file: string): Promise<void> {
  const job = parseJob(file, await context.readText(file));
  const given = context.options.text('--idempotency-key');
  const idempotencyKey = given ?? randomUUID();
  if (given === undefined) {
    context.output.notice(
      `idempotency key ${idempotencyKey}; resubmit with --idempotency-key ${idempotencyKey}`,
    );
  }
  const answer = await context.call<SubmitJobResult>({
    method: 'POST',
    path: '/v1/jobs',
    headers: { 'content-type': 'application/json', 'idempotency-key': idempotencyKey },
    body: JSON.stringify(job),
    repetition: 'safe',
  });
  if (!context.options.has('--wait')) {
    context.output.result({ ...answer, idempotencyKey }, `job ${answer.id} is accepted`);
    return;
  }
  context.output.notice(`job ${answer.id} is accepted`);
  await awaitJob(context, answer.id, true);
}

/** `wait <id>`: waits until a job has ended. */
export async function waitForJob(context: CommandContext, id: string): Promise<void> {
  await awaitJob(context, id, false);
}

/** A running job stays so until its tasks have been stopped. */
function isCancellable(state: JobState | 'not-found'): boolean {
  return state === 'cancelled' || state === 'running' || state === 'waiting';
}

/** `cancel <id...>`: cancels jobs. */
export async function cancelJobs(context: CommandContext, ids: string[]): Promise<void> {
  const answer = await context.call<CancelResult>({
    method: 'POST',
    path: '/v1/jobs/cancel',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ ids }),
    repetition: 'safe',
  });
  const refused = answer.jobs.filter(({ state }) => !isCancellable(state));
  const lines = [
    `${answer.jobs.length - refused.length} of ${ids.length} jobs are cancelled`,
    ...refused.map(({ id, state }) =>
      state === 'not-found' ? `${id}: not found` : `${id}: has ended as ${state}`,
    ),
  ];
  context.output.result(answer, lines.join('\n'));
  if (refused.length > 0) {
    throw new ClientError('refused', `${refused.length} jobs were not cancelled`);
  }
}
