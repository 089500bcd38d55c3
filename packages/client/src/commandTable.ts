import type { CommandContext } from './commandContext.js';
import { evacuate, listEvacuations } from './commands/evacuationCommands.js';
import { explainJob } from './commands/explainCommand.js';
import { drainInstance, replaceReplica } from './commands/instanceCommands.js';
import { cancelJobs, showJob, submitJob, waitForJob } from './commands/jobCommands.js';
import { manageKeys } from './commands/keyCommands.js';
import { applyNote, checkNote, diffNote } from './commands/noteCommands.js';
import {
  listEndpoints,
  listQueues,
  listTeams,
  showAudit,
  showStatus,
} from './commands/readCommands.js';
import { sendRequest } from './commands/requestCommand.js';

/** One command of the client. */
export interface CommandDefinition {
  /** Name and arguments in the syntax of cac. */
  usage: string;
  description: string;
  options?: readonly OptionDefinition[];
  /** Runs the command with the arguments in the order of `usage`; variadic ones are spread. */
  run(context: CommandContext, ...args: string[]): Promise<void>;
}

/** One option. An option that takes a value names it in angle brackets. */
export interface OptionDefinition {
  usage: string;
  description: string;
}

const IDEMPOTENCY_OPTION: OptionDefinition = {
  usage: '--idempotency-key <key>',
  description: 'Runs the work at most once for this key',
};

/** Options of every command. */
export const GLOBAL_OPTIONS: readonly OptionDefinition[] = [
  {
    usage: '--gateway <url>',
    description: 'Gateway, repeatable; tried in order (or LAGOONGAP_GATEWAY, comma-separated)',
  },
  {
    usage: '--key-file <file>',
    description: 'File with the secret of the key (or LAGOONGAP_KEY with the secret itself)',
  },
  { usage: '--ca-file <file>', description: 'CA certificates of the gateways in PEM format' },
  { usage: '--json', description: 'Write results and errors as JSON' },
  { usage: '--timeout <seconds>', description: 'Timeout of the whole command (30 by default)' },
];

/** All commands of the client. */
export const COMMANDS: readonly CommandDefinition[] = [
  {
    usage: 'apply <note>',
    description: 'Submit a release note (TOML)',
    options: [{ usage: '--wait', description: 'Wait until it is in force everywhere' }],
    run: applyNote,
  },
  { usage: 'check <note>', description: 'Check a release note', run: checkNote },
  { usage: 'diff <note>', description: 'Show what a release note would change', run: diffNote },
  { usage: 'status', description: 'Show instances and leader', run: showStatus },
  { usage: 'endpoints', description: 'List workers and runners', run: listEndpoints },
  { usage: 'teams', description: 'List teams with shares, limits and use', run: listTeams },
  { usage: 'queues', description: 'List queues', run: listQueues },
  { usage: 'jobs <id>', description: 'Show a job', run: showJob },
  {
    usage: 'submit <job>',
    description: 'Submit a job (JSON or TOML)',
    options: [IDEMPOTENCY_OPTION, { usage: '--wait', description: 'Wait until the job has ended' }],
    run: submitJob,
  },
  {
    usage: 'request',
    description: 'Send a request and write the response to standard output',
    options: [
      { usage: '--queue <name>', description: 'Queue (required)' },
      { usage: '--work <name>', description: 'Kind of work' },
      { usage: '--body <file>', description: 'Body; standard input by default' },
      { usage: '--content-type <type>', description: 'Media type of the body' },
      { usage: '--deadline <ms>', description: 'Time after which the request is abandoned' },
      { usage: '--no-repeat', description: 'Never run the request twice' },
      IDEMPOTENCY_OPTION,
    ],
    run: sendRequest,
  },
  { usage: 'wait <id>', description: 'Wait until a job has ended', run: waitForJob },
  {
    usage: 'cancel <...ids>',
    description: 'Cancel jobs',
    run: (context, ...ids) => cancelJobs(context, ids),
  },
  { usage: 'drain <instance>', description: 'Drain an instance and stop it', run: drainInstance },
  {
    usage: 'replace <instance>',
    description: 'Show how to repair a replica that has lost its disk',
    options: [
      {
        usage: '--remove',
        description: 'Remove the replica of an instance that will not come back',
      },
    ],
    run: replaceReplica,
  },
  {
    usage: 'evacuate <name>',
    description: 'Keep new work away from a data centre',
    options: [{ usage: '--end', description: 'End the evacuation' }],
    run: evacuate,
  },
  { usage: 'evacuations', description: 'List evacuated data centres', run: listEvacuations },
  {
    usage: 'audit',
    description: 'Show the audit trail',
    options: [{ usage: '--verify', description: 'Check the hash chain' }],
    run: showAudit,
  },
  {
    usage: 'explain <id> [...files]',
    description: 'Show from logs what happened to a job, step or run',
    run: (context, id, ...files) => explainJob(context, id, files),
  },
  {
    usage: 'key <action>',
    description: 'Create a key ("key create") or hash a secret ("key hash")',
    options: [
      { usage: '--role <role>', description: 'caller (default), endpoint or operator' },
      { usage: '--team <name>', description: 'Team of a caller key' },
      { usage: '--id <id>', description: 'Identifier of the key' },
    ],
    run: manageKeys,
  },
];
