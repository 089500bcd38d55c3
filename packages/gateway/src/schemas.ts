import { z } from 'zod';

import { refuse } from './httpResponse.js';

const MAX_AMOUNT = 2 ** 40;
const MAX_TASKS = 10_000;
const MAX_DEADLINE_MS = 30 * 24 * 60 * 60 * 1000;
const MAX_LIST_LENGTH = 100_000;
const MAX_WORKS = 1000;
const MAX_LISTED_CAPABILITIES = 64;

/** Number of faults of a document that a refusal lists, and characters of each. */
const MAX_LISTED_FAULTS = 100;
const MAX_FAULT_LENGTH = 1000;

/**
 * Returns the shape of a list whose length is checked before its items, as each invalid item costs
 * much more than its text.
 */
function boundedList<Item extends z.ZodType>(item: Item, maxLength: number, minLength = 0) {
  return z.array(z.unknown()).min(minLength).max(maxLength).pipe(z.array(item));
}

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
  ids: boundedList(nameSchema, MAX_LIST_LENGTH, 1),
});

const CAPABILITIES = ['checkpoint', 'throttle', 'stop'] as const;

/** Body of `POST /v1/endpoints`. */
export const announcementSchema = z.strictObject({
  id: nameSchema,
  kind: z.enum(['worker', 'runner']),
  url: z.url({ protocol: /^https?$/ }),
  size: sizeSchema,
  rack: nameSchema,
  dataCentre: nameSchema,
  works: boundedList(nameSchema, MAX_WORKS),
  speed: z.number().positive().max(1000).default(1),
  capabilities: boundedList(z.enum(CAPABILITIES), MAX_LISTED_CAPABILITIES).default([]),
});

/** Body of `POST /v1/endpoints/{id}/heartbeat`. */
export const heartbeatSchema = z.strictObject({
  session: nameSchema,
  running: boundedList(
    z.strictObject({
      attempt: nameSchema,
      token: z.number().int().min(0),
      usage: resourcesSchema.optional(),
    }),
    MAX_LIST_LENGTH,
  ),
  finished: boundedList(
    z.strictObject({
      attempt: nameSchema,
      outcome: z.enum(['succeeded', 'failed', 'checkpointed', 'stopped']),
      message: z.string().max(4096).optional(),
      checkpoint: z.string().max(4096).optional(),
    }),
    MAX_LIST_LENGTH,
  ),
});

/** Returns the parsed value; a refusal lists the faults with their paths, up to a number. */
export function parseWith<Schema extends z.ZodType>(
  schema: Schema,
  value: unknown,
): z.output<Schema> {
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  const faults = result.error.issues.slice(0, MAX_LISTED_FAULTS).map(({ path, message }) => ({
    path: path.join('.').slice(0, MAX_FAULT_LENGTH) || '(body)',
    message: message.slice(0, MAX_FAULT_LENGTH),
  }));
  const text = faults.map((fault) => `${fault.path}: ${fault.message}`).join('; ');
  return refuse('invalid-input', `the body is invalid: ${text}`, { faults });
}
