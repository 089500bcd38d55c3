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

/** Lists faults of a note, one a line with its place. */
export function formatNoteFaults(file: string, faults: readonly NoteFault[]): string {
  return faults
    .map(({ line, path, message }) => {
      const place = line > 0 ? `${file}:${line}` : file;
      return `${place}: ${path === '' ? '' : `${path}: `}${message}`;
    })
    .join('\n');
}

function raiseFaults(file: string, faults: NoteFault[]): never {
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
  if (!note) raiseFaults(file, faults);
  return { note, text };
}

/** Faults that a gateway finds refer to the file that was sent. */
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
      // The same number with the same content has the same answer however often it is sent.
      repetition: 'safe',
    });
  } catch (err) {
    if (!(err instanceof ClientError) || err.reason !== 'refused') throw err;
    const details = err.refusal?.details as { faults?: NoteFault[] } | undefined;
    if (details?.faults) raiseFaults(file, details.faults);
    throw err;
  }
}

async function waitUntilInForce(context: CommandContext, number: number): Promise<void> {
  const findBehind = (status: ClusterStatus): string[] =>
    status.instances
      .filter((instance) => instance.alive && instance.number < number)
      .map((instance) => instance.id);
  await poll<ClusterStatus>(context, {
    createCall: () => ({ method: 'GET', path: '/v1/status', repetition: 'safe' }),
    isDone: (status) => status.number >= number && findBehind(status).length === 0,
    describe: (status) => {
      const places = status ? findBehind(status).join(', ') : '';
      return `note ${number} is accepted, but not yet in force on ${places || 'every instance'}`;
    },
    isAccepted: true,
  });
}

/** `apply <note.toml>`: submits a release note. */
export async function applyNote(context: CommandContext, file: string): Promise<void> {
  const { note, text } = await readNote(context, file);
  const answer = await sendNote(context, file, text, '');
  const isInForce = context.options.has('--wait');
  if (isInForce) await waitUntilInForce(context, note.number);
  const state = isInForce ? 'in force on every live instance' : 'accepted';
  context.output.result({ ...answer, inForce: isInForce }, `note ${note.number} is ${state}`);
}

/** `check <note.toml>`: has a release note checked without applying it. */
export async function checkNote(context: CommandContext, file: string): Promise<void> {
  const { note, text } = await readNote(context, file);
  await sendNote(context, file, text, '?check=true');
  const data = { number: note.number, contentHash: hashReleaseNote(note), faults: [] };
  context.output.result(data, `note ${note.number} has no faults`);
}

/** `diff <note.toml>`: shows what a release note would change. */
export async function diffNote(context: CommandContext, file: string): Promise<void> {
  // Faults of the text itself are reported without a gateway.
  await readNote(context, file);
  const call = { method: 'GET', path: '/v1/config', repetition: 'safe' } as const;
  const config = await context.call<ClusterConfig>(call);
  const { note } = await readNote(context, file, config);
  const diff = diffConfigs(config, applyReleaseNote(config, note));
  context.output.result(diff, formatConfigDiff(diff));
}
