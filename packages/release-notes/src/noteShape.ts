import { z } from 'zod';

/** Priority of a queue whose note does not tell one. */
export const DEFAULT_PRIORITY = 500;

/** Bound on waiting units of a queue whose note does not tell one. */
export const DEFAULT_MAX_WAITING = 1000;

const teamShape = z.strictObject({
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

const keyShape = z.strictObject({
  id: z.string(),
  hash: z.string(),
  role: z.enum(['caller', 'endpoint', 'operator']),
  team: z.string().optional(),
});

const queueShape = z.strictObject({
  name: z.string(),
  kind: z.enum(['service', 'batch', 'gang', 'request']),
  open: z.boolean().default(false),
  teams: z.array(z.string()).optional(),
  chargedTeam: z.string().optional(),
  priority: z.number().default(DEFAULT_PRIORITY),
  works: z.array(z.string()),
  maxWaiting: z.number().default(DEFAULT_MAX_WAITING),
});

const ruleShape = z.strictObject({
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

const entriesShape = z
  .strictObject({
    teams: z.array(teamShape).default([]),
    keys: z.array(keyShape).default([]),
    queues: z.array(queueShape).default([]),
    endpointRules: z.array(ruleShape).default([]),
  })
  .default(NO_ENTRIES);

const nameShape = z.strictObject({ name: z.string() });
const idShape = z.strictObject({ id: z.string() });

/** Shape of the TOML text of a release note. */
export const noteShape = z.strictObject({
  number: z.number(),
  comment: z.string().optional(),
  added: entriesShape,
  changed: entriesShape,
  withdrawn: z
    .strictObject({
      teams: z.array(nameShape).default([]),
      keys: z.array(idShape).default([]),
      queues: z.array(nameShape).default([]),
      endpointRules: z.array(nameShape).default([]),
    })
    .default(NO_ENTRIES),
});
