import type { ClusterConfig } from '@lagoongap/model/clusterConfig.js';
import type { ApplyNoteResult, ClusterStatus } from '@lagoongap/model/messages.js';
import type { NoteFault, ReleaseNote } from '@lagoongap/model/releaseNote.js';
import { applyReleaseNote } from '@lagoongap/release-notes/applyReleaseNote.js';
import { diffConfigs, formatConfigDiff } from '@lagoongap/release-notes/diffConfigs.js';
import { hashReleaseNote } from '@lagoongap/release-notes/hashReleaseNote.js';
import { parseReleaseNote } from '@lagoongap/release-notes/parseReleaseNote.js';

import { ClientError } from '../clientError.js';
import type { CommandContext } from '../commandContext.js';
import { poll } from '../poll.js';

/** Formats the faults of a note, one per line with its location. */
export function formatNoteFaults(file: string, faults: readonly NoteFault[]): string {
  return faults
    .map(({ line, path, message }) => {
      const location = line > 0 ? `${file}:${line}` : file;
      return `${location}: ${path === '' ? '' : `${path}: `}${message}`;
    })
    .join('\n');
}

function throwFaults(file: string, faults: NoteFault[]): never {
  const message = formatNoteFaults(file, faults);
  const refusal = { type: 'invalid-input', runState: 'not-run', message, details: faults } as const;
  throw new ClientError('refused', message, { refusal });
}

async function readNote(
  context: CommandContext,
  file: string,
  config?: ClusterConfig,
): Promise<{ note: ReleaseNote; text: string }> {
  const text = await context.readText(file);
  const { note, faults } = parseReleaseNote(text, config);
  if (!note) throwFaults(file, faults);
  return { note, text };
}

/** Submits a note; faults found by the gateway are reported with the name of the file. */
async function sendNote(
  context: CommandContext,
  file: string,
  text: string,
  query: string,
): Promise<ApplyNoteResult> {
  try {
    return await context.call<ApplyNoteResult>({
      method: 'POST',
      path: `/v1/notes${query}`,
      headers: { 'content-type': 'application/toml' },
      body: text,
      // Idempotent: a note with the same number and content always gets the same response.
      retryPolicy: 'safe',
    });
  } catch (err) {
    if (!(err instanceof ClientError) || err.reason !== 'refused') throw err;
    const details = err.refusal?.details as { faults?: NoteFault[] } | undefined;
    if (details?.faults) throwFaults(file, details.faults);
    throw err;
  }
}

async function waitUntilInForce(context: CommandContext, number: number): Promise<void> {
  const listOutdatedInstances = (status: ClusterStatus): string[] =>
    status.instances
      .filter((instance) => instance.alive && instance.number < number)
      .map((instance) => instance.id);
  await poll<ClusterStatus>(context, {
    createCall: () => ({ method: 'GET', path: '/v1/status', retryPolicy: 'safe' }),
    isDone: (status) => status.number >= number && listOutdatedInstances(status).length === 0,
    describeTimeout: (status) => {
      const outdated = status ? listOutdatedInstances(status).join(', ') : '';
      return `note ${number} is accepted, but not yet in force on ${outdated || 'every instance'}`;
    },
    isAccepted: true,
  });
}

/** `apply <note.toml>`: submits a release note. */
export async function applyNote(context: CommandContext, file: string): Promise<void> {
  const { note, text } = await readNote(context, file);
  const result = await sendNote(context, file, text, '');
  const isInForce = context.options.has('--wait');
  if (isInForce) await waitUntilInForce(context, note.number);
  const state = isInForce ? 'in force on every live instance' : 'accepted';
  context.output.result({ ...result, inForce: isInForce }, `note ${note.number} is ${state}`);
}

/** `check <note.toml>`: checks a release note without applying it. */
export async function checkNote(context: CommandContext, file: string): Promise<void> {
  const { note, text } = await readNote(context, file);
  await sendNote(context, file, text, '?check=true');
  const data = { number: note.number, contentHash: hashReleaseNote(note), faults: [] };
  context.output.result(data, `note ${note.number} has no faults`);
}

/** `diff <note.toml>`: shows what a release note would change. */
export async function diffNote(context: CommandContext, file: string): Promise<void> {
  // Reports faults that do not depend on the configuration without calling a gateway.
  await readNote(context, file);
  const call = { method: 'GET', path: '/v1/config', retryPolicy: 'safe' } as const;
  const config = await context.call<ClusterConfig>(call);
  const { note } = await readNote(context, file, config);
  const diff = diffConfigs(config, applyReleaseNote(config, note));
  context.output.result(diff, formatConfigDiff(diff));
}
