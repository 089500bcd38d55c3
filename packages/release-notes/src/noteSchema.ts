import { z } from 'zod';

/** Priority of a queue if the note does not specify one. */
export const DEFAULT_PRIORITY = 500;

/** Maximum number of waiting units of a queue if the note does not specify one. */
export const DEFAULT_MAX_WAITING = 1000;

const teamSchema = z.strictObject({
  name: z.string(),
  share: z.number(),
  limit: z
    .strictObject({
      cpuMillis: z.number().optional(),
      memoryMib: z.number().optional(),
      accelerators: z.number().optional(),
      slots: z.number().optional(),
      tasks: z.number().optional(),
    })
    .default({}),
});

const keySchema = z.strictObject({
  id: z.string(),
  hash: z.string(),
  role: z.enum(['caller', 'endpoint', 'operator']),
  team: z.string().optional(),
});

const queueSchema = z.strictObject({
  name: z.string(),
  kind: z.enum(['service', 'batch', 'gang', 'request']),
  open: z.boolean().default(false),
  teams: z.array(z.string()).optional(),
  chargedTeam: z.string().optional(),
  priority: z.number().default(DEFAULT_PRIORITY),
  works: z.array(z.string()),
  maxWaiting: z.number().default(DEFAULT_MAX_WAITING),
});

const ruleSchema = z.strictObject({
  name: z.string(),
  match: z
    .strictObject({
      kind: z.enum(['worker', 'runner']).optional(),
      dataCentre: z.string().optional(),
      rack: z.string().optional(),
      idPrefix: z.string().optional(),
    })
    .default({}),
  works: z.array(z.string()),
});

const NO_ENTRIES = { teams: [], keys: [], queues: [], endpointRules: [] };

const entriesSchema = z
  .strictObject({
    teams: z.array(teamSchema).default([]),
    keys: z.array(keySchema).default([]),
    queues: z.array(queueSchema).default([]),
    endpointRules: z.array(ruleSchema).default([]),
  })
  .default(NO_ENTRIES);

const nameSchema = z.strictObject({ name: z.string() });
const idSchema = z.strictObject({ id: z.string() });

/** Schema of the TOML document of a release note. */
export const noteSchema = z.strictObject({
  number: z.number(),
  comment: z.string().optional(),
  added: entriesSchema,
  changed: entriesSchema,
  withdrawn: z
    .strictObject({
      teams: z.array(nameSchema).default([]),
      keys: z.array(idSchema).default([]),
      queues: z.array(nameSchema).default([]),
      endpointRules: z.array(nameSchema).default([]),
    })
    .default(NO_ENTRIES),
});
