import { z } from 'zod';

/** Largest TCP port. */
const MAX_PORT = 65535;

/** Largest delay in milliseconds that Node.js timers accept. */
const MAX_DURATION_MS = 2 ** 31 - 1;

const BYTES_PER_MIB = 1024 * 1024;

/** Ids are restricted because replica ids (before a slash), metrics and URL paths contain them. */
const idShape = z
  .string()
  .regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, 'expected 1 to 63 characters of a-z, 0-9, ".", "_", "-"');

const addressShape = z.string().pipe(
  z.union([z.ipv4(), z.ipv6()], {
    error: 'expected an IP address; host names are not resolved',
  }),
);

const countShape = z
  .number()
  .refine((value) => Number.isSafeInteger(value) && value >= 1, 'expected a whole number above 0');

const durationShape = z
  .number()
  .refine(
    (value) => value > 0 && value <= MAX_DURATION_MS,
    `expected milliseconds above 0 and at most ${MAX_DURATION_MS}`,
  );

const delayShape = z
  .number()
  .refine(
    (value) => value >= 0 && value <= MAX_DURATION_MS,
    `expected milliseconds from 0 to ${MAX_DURATION_MS}`,
  );

const fractionShape = z
  .number()
  .refine((value) => value >= 0 && value <= 1, 'expected a number from 0 to 1');

const portShape = z
  .number()
  .refine(
    (value) => Number.isInteger(value) && value >= 1 && value <= MAX_PORT,
    `expected a whole number from 1 to ${MAX_PORT}`,
  );

/** Allows port 0, chosen by the operating system, as only callers connect to the HTTP port. */
const httpPortShape = z
  .number()
  .refine(
    (value) => Number.isInteger(value) && value >= 0 && value <= MAX_PORT,
    `expected a whole number from 0 to ${MAX_PORT}`,
  );

const rolesShape = z
  .array(z.enum(['gateway', 'replica']))
  .min(1, 'expected at least one role')
  .refine((roles) => new Set(roles).size === roles.length, 'expected each role once');

const tlsShape = z.strictObject({
  certFile: z.string().min(1, 'expected a path'),
  keyFile: z.string().min(1, 'expected a path'),
  caFile: z.string().min(1, 'expected a path').optional(),
});

const peerShape = z.strictObject({
  id: idShape,
  host: addressShape,
  port: portShape,
  dataCentre: idShape,
  roles: rolesShape,
});

/** Schema of the settings file with its defaults. */
export const settingsShape = z.strictObject({
  instance: z.strictObject({
    id: idShape,
    dataCentre: idShape,
    roles: rolesShape.default(['gateway']),
  }),
  http: z
    .strictObject({
      host: addressShape.default('127.0.0.1'),
      port: httpPortShape.default(7080),
      maxBodyBytes: countShape.default(64 * BYTES_PER_MIB),
      tls: tlsShape.optional(),
      allowPlaintext: z.boolean().default(false),
    })
    .prefault({}),
  peering: z.strictObject({
    host: addressShape.default('127.0.0.1'),
    port: portShape.default(7081),
    tls: tlsShape.optional(),
    allowPlaintext: z.boolean().default(false),
    peers: z.array(peerShape).min(1, 'expected at least this instance'),
  }),
  storage: z
    .strictObject({
      dataFolder: z.string().min(1, 'expected a path'),
      bootstrap: z.boolean().default(false),
      snapshotEntries: countShape.default(20000),
    })
    .optional(),
  bootstrapOperatorKeyHashes: z
    .array(
      z.string().regex(/^[0-9a-f]{64}$/, 'expected a SHA-256 of 64 lower-case hexadecimal digits'),
    )
    .default([]),
  timing: z
    .strictObject({
      heartbeatMs: durationShape.default(100),
      electionMinMs: durationShape.default(600),
      electionMaxMs: durationShape.default(1200),
      leaderValidityMs: durationShape.default(500),
      gatewayPollMs: durationShape.default(500),
      gatewayValidityMs: durationShape.default(2000),
      endpointHeartbeatMs: durationShape.default(1500),
      endpointLeaseMs: durationShape.default(6000),
      drainDelayMs: delayShape.default(3000),
      drainTimeoutMs: delayShape.default(30000),
    })
    .prefault({}),
  scheduling: z
    .strictObject({
      policy: z.enum(['fair-share', 'first-fit']).default('fair-share'),
      usageHalfLifeMs: durationShape.default(600000),
      packingWeight: fractionShape.default(0.5),
      preemption: z.boolean().default(true),
      maxBatch: countShape.default(512),
    })
    .prefault({}),
  routing: z
    .strictObject({
      retryBudget: fractionShape.default(0.2),
      maxAttempts: countShape.default(3),
      ejectionFailures: countShape.default(5),
      ejectionBaseMs: durationShape.default(5000),
      ejectionMaxMs: durationShape.default(300000),
      maxEjectedShare: fractionShape.default(0.3),
    })
    .prefault({}),
  log: z
    .strictObject({
      level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
      format: z.enum(['json', 'pretty']).default('json'),
    })
    .prefault({}),
});
