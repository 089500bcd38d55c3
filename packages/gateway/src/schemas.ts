import { z } from 'zod';

import { refuse } from './httpResponse.js';

const MAX_AMOUNT = 2 ** 40;
const MAX_TASKS = 10_000;
const MAX_DEADLINE_MS = 30 * 24 * 60 * 60 * 1000;
const MAX_LIST_LENGTH = 100_000;

const nameSchema = z
  .string()
  .regex(
    /^[A-Za-z0-9][A-Za-z0-9._/-]{0,127}$/,
    'expected 1 to 128 letters, digits, ".", "_", "-" or "/"',
  );
const amountSchema = z.number().int().min(0).max(MAX_AMOUNT).default(0);

const resourcesSchema = z.strictObject({
  cpuMillis: amountSchema,
  memoryMib: amountSchema,
  accelerators: amountSchema,
  slots: amountSchema,
});

const hasPositiveAmount = (size: z.infer<typeof resourcesSchema>): boolean =>
  Object.values(size).some((value) => value > 0);

/** Size of a task with at least one amount above zero. */
export const sizeSchema = resourcesSchema.refine(
  hasPositiveAmount,
  'at least one amount must be above zero',
);

/** Body of `POST /v1/jobs`. */
export const jobSpecSchema = z.strictObject({
  kind: z.enum(['service', 'batch', 'gang']),
  queue: nameSchema,
  work: nameSchema,
  tasks: z.number().int().min(1).max(MAX_TASKS).default(1),
  size: sizeSchema,
  payload: z.unknown().optional(),
  noRepeat: z.boolean().default(false),
  deadlineMs: z.number().int().min(1).max(MAX_DEADLINE_MS).optional(),
});

/** Body of `POST /v1/jobs/cancel`. */
export const cancelSchema = z.strictObject({
  ids: z.array(nameSchema).min(1).max(MAX_LIST_LENGTH),
});

/** Body of `POST /v1/endpoints`. */
export const announcementSchema = z.strictObject({
  id: nameSchema,
  kind: z.enum(['worker', 'runner']),
  url: z.url({ protocol: /^https?$/ }),
  size: sizeSchema,
  rack: nameSchema,
  dataCentre: nameSchema,
  works: z.array(nameSchema).max(1000),
  speed: z.number().positive().max(1000).default(1),
  capabilities: z.array(z.enum(['checkpoint', 'throttle', 'stop'])).default([]),
});

/** Body of `POST /v1/endpoints/{id}/heartbeat`. */
export const heartbeatSchema = z.strictObject({
  session: nameSchema,
  running: z
    .array(
      z.strictObject({
        attempt: nameSchema,
        token: z.number().int().min(0),
        usage: resourcesSchema.optional(),
      }),
    )
    .max(MAX_LIST_LENGTH),
  finished: z
    .array(
      z.strictObject({
        attempt: nameSchema,
        outcome: z.enum(['succeeded', 'failed', 'checkpointed', 'stopped']),
        message: z.string().max(4096).optional(),
        checkpoint: z.string().max(4096).optional(),
      }),
    )
    .max(MAX_LIST_LENGTH),
});

/** Returns the parsed value; a refusal lists every fault with its path. */
export function parseWith<Schema extends z.ZodType>(
  schema: Schema,
  value: unknown,
): z.output<Schema> {
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  const faults = result.error.issues.map(({ path, message }) => ({
    path: path.join('.') || '(body)',
    message,
  }));
  const text = faults.map((fault) => `${fault.path}: ${fault.message}`).join('; ');
  return refuse('invalid-input', `the body is invalid: ${text}`, { faults });
}
