import { z } from 'zod';

import { refuse } from './httpReply.js';

const MAX_AMOUNT = 2 ** 40;
const MAX_TASKS = 10_000;
const MAX_DEADLINE_MS = 30 * 24 * 60 * 60 * 1000;
const MAX_REPORTS = 100_000;

const name = z
  .string()
  .regex(
    /^[A-Za-z0-9][A-Za-z0-9._/-]{0,127}$/,
    'expected 1 to 128 letters, digits, ".", "_", "-" or "/"',
  );
const amount = z.number().int().min(0).max(MAX_AMOUNT).default(0);

const resourcesSchema = z.strictObject({
  cpuMillis: amount,
  memoryMib: amount,
  accelerators: amount,
  slots: amount,
});

const notEmpty = (size: z.infer<typeof resourcesSchema>): boolean =>
  Object.values(size).some((value) => value > 0);

/** Size of a task; at least one dimension is above zero. */
export const sizeSchema = resourcesSchema.refine(
  notEmpty,
  'at least one amount must be above zero',
);

/** Body of `POST /v1/jobs`. */
export const jobSpecSchema = z.strictObject({
  kind: z.enum(['service', 'batch', 'gang']),
  queue: name,
  work: name,
  tasks: z.number().int().min(1).max(MAX_TASKS).default(1),
  size: sizeSchema,
  payload: z.unknown().optional(),
  noRepeat: z.boolean().default(false),
  deadlineMs: z.number().int().min(1).max(MAX_DEADLINE_MS).optional(),
});

/** Body of `POST /v1/jobs/cancel`. */
export const cancelSchema = z.strictObject({ ids: z.array(name).min(1).max(MAX_REPORTS) });

/** Body of `POST /v1/endpoints`. */
export const announcementSchema = z.strictObject({
  id: name,
  kind: z.enum(['worker', 'runner']),
  url: z.url({ protocol: /^https?$/ }),
  size: sizeSchema,
  rack: name,
  dataCentre: name,
  works: z.array(name).max(1000),
  speed: z.number().positive().max(1000).default(1),
  capabilities: z.array(z.enum(['checkpoint', 'throttle', 'stop'])).default([]),
});

/** Body of `POST /v1/endpoints/{id}/heartbeat`. */
export const heartbeatSchema = z.strictObject({
  session: name,
  running: z
    .array(
      z.strictObject({
        attempt: name,
        token: z.number().int().min(0),
        usage: resourcesSchema.optional(),
      }),
    )
    .max(MAX_REPORTS),
  finished: z
    .array(
      z.strictObject({
        attempt: name,
        outcome: z.enum(['succeeded', 'failed', 'checkpointed', 'stopped']),
        message: z.string().max(4096).optional(),
        checkpoint: z.string().max(4096).optional(),
      }),
    )
    .max(MAX_REPORTS),
});

/** Returns the checked value, or refuses naming every fault with its path. */
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
  return refuse('invalid-input', `the body is not valid: ${text}`, { faults });
}
