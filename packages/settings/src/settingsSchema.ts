import { z } from 'zod';

/** Largest TCP port. */
const MAX_PORT = 65535;

/** Largest delay in milliseconds that Node.js timers accept. */
const MAX_DURATION_MS = 2 ** 31 - 1;

const BYTES_PER_KIB = 1024;
const BYTES_PER_MIB = 1024 * 1024;

/** Ids are restricted because replica ids (before a slash), metrics and URL paths contain them. */
const idSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'expected 1 to 63 characters of a-z, 0-9, ".", "_", "-"');

const addressSchema = z.string().pipe(
  z.union([z.ipv4(), z.ipv6()], {
    error: 'expected an IP address; host names are not resolved',
  }),
);

const countSchema = z
  .number()
  .refine((value) => Number.isSafeInteger(value) && value >= 1, 'expected a whole number above 0');

const durationSchema = z
  .number()
  .refine(
    (value) => value > 0 && value <= MAX_DURATION_MS,
    `expected milliseconds above 0 and at most ${MAX_DURATION_MS}`,
  );

const delaySchema = z
  .number()
  .refine(
    (value) => value >= 0 && value <= MAX_DURATION_MS,
    `expected milliseconds from 0 to ${MAX_DURATION_MS}`,
  );

const fractionSchema = z
  .number()
  .refine((value) => value >= 0 && value <= 1, 'expected a number from 0 to 1');

const portSchema = z
  .number()
  .refine(
    (value) => Number.isInteger(value) && value >= 1 && value <= MAX_PORT,
    `expected a whole number from 1 to ${MAX_PORT}`,
  );

/** Allows port 0, chosen by the operating system, as only callers connect to the HTTP port. */
const httpPortSchema = z
  .number()
  .refine(
    (value) => Number.isInteger(value) && value >= 0 && value <= MAX_PORT,
    `expected a whole number from 0 to ${MAX_PORT}`,
  );

const rolesSchema = z
  .array(z.enum(['gateway', 'replica']))
  .min(1, 'expected at least one role')
  .refine((roles) => new Set(roles).size === roles.length, 'expected each role once');

const tlsSchema = z.strictObject({
  certFile: z.string().min(1, 'expected a path'),
  keyFile: z.string().min(1, 'expected a path'),
  caFile: z.string().min(1, 'expected a path').optional(),
});

const peerSchema = z.strictObject({
  id: idSchema,
  host: addressSchema,
  port: portSchema,
  dataCentre: idSchema,
  roles: rolesSchema,
});

/** Schema of the settings file with its defaults. */
export const settingsSchema = z.strictObject({
  instance: z.strictObject({
    id: idSchema,
    dataCentre: idSchema,
    roles: rolesSchema.default(['gateway']),
  }),
  http: z
    .strictObject({
      host: addressSchema.default('127.0.0.1'),
      port: httpPortSchema.default(7080),
      maxBodyBytes: countSchema.default(64 * BYTES_PER_MIB),
      maxConnections: countSchema.default(4096),
      maxRequestBytes: countSchema.optional(),
      maxUnreadBytes: countSchema.optional(),
      maxPipelinedRequests: countSchema.default(32),
      maxHeaderBytes: countSchema.default(20 * BYTES_PER_KIB),
      maxHeaders: countSchema.default(256),
      headerTimeoutMs: durationSchema.default(15_000),
      idleTimeoutMs: durationSchema.default(75_000),
      tls: tlsSchema.optional(),
      allowPlaintext: z.boolean().default(false),
    })
    .prefault({}),
  peering: z.strictObject({
    host: addressSchema.default('127.0.0.1'),
    port: portSchema.default(7081),
    tls: tlsSchema.optional(),
    allowPlaintext: z.boolean().default(false),
    peers: z.array(peerSchema).min(1, 'expected at least this instance'),
  }),
  storage: z
    .strictObject({
      dataFolder: z.string().min(1, 'expected a path'),
      bootstrap: z.boolean().default(false),
      snapshotEntries: countSchema.default(20000),
    })
    .optional(),
  bootstrapOperatorKeyHashes: z
    .array(
      z.string().regex(/^[0-9a-f]{64}$/, 'expected a SHA-256 of 64 lower-case hexadecimal digits'),
    )
    .default([]),
  timing: z
    .strictObject({
      heartbeatMs: durationSchema.default(100),
      electionMinMs: durationSchema.default(600),
      electionMaxMs: durationSchema.default(1200),
      leaderValidityMs: durationSchema.default(500),
      gatewayPollMs: durationSchema.default(500),
      gatewayValidityMs: durationSchema.default(2000),
      endpointHeartbeatMs: durationSchema.default(1500),
      endpointLeaseMs: durationSchema.default(6000),
      drainDelayMs: delaySchema.default(3000),
      drainTimeoutMs: delaySchema.default(30000),
    })
    .prefault({}),
  scheduling: z
    .strictObject({
      policy: z.enum(['fair-share', 'first-fit']).default('fair-share'),
      usageHalfLifeMs: durationSchema.default(600000),
      packingWeight: fractionSchema.default(0.5),
      preemption: z.boolean().default(true),
      maxBatch: countSchema.default(512),
      maxJobBytes: countSchema.optional(),
    })
    .prefault({}),
  routing: z
    .strictObject({
      retryBudget: fractionSchema.default(0.2),
      maxAttempts: countSchema.default(3),
      ejectionFailures: countSchema.default(5),
      ejectionBaseMs: durationSchema.default(5000),
      ejectionMaxMs: durationSchema.default(300000),
      maxEjectedShare: fractionSchema.default(0.3),
    })
    .prefault({}),
  log: z
    .strictObject({
      level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
      format: z.enum(['json', 'pretty']).default('json'),
    })
    .prefault({}),
});
