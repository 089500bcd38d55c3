import { ClientError } from '../clientError.js';
import type { CommandContext } from '../commandContext.js';
import { type JobStory, type LogLine, tellStory } from '../jobStory.js';

/** Shortest part of an id that tells jobs apart. */
const MIN_ID_LENGTH = 4;

function formatValue(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}

function formatLine({ time, instance, level, message, ...fields }: LogLine): string {
  const details = Object.entries(fields).map(([name, value]) => `${name}=${formatValue(value)}`);
  const mark = level === 'info' ? '' : ` ${level}:`;
  return [`${time} ${instance ?? '-'}${mark} ${message}`, ...details].join('  ');
}

function formatStory({ lines, longestGap }: JobStory): string {
  const text = lines.map(formatLine);
  if (longestGap) {
    const { ms, before } = longestGap;
    text.push(`longest wait: ${ms} ms before "${before.message}" at ${before.time}`);
  }
  return text.join('\n');
}

/** `explain <id> [...files]`: tells from logs what happened to a job, step or run. */
export async function explainJob(
  context: CommandContext,
  id: string,
  files: string[],
): Promise<void> {
  if (id.length < MIN_ID_LENGTH) {
    throw new ClientError('usage', `expected an id of at least ${MIN_ID_LENGTH} characters`);
  }
  const texts: string[] = [];
  for (const file of files) texts.push(...(await context.readText(file)).split('\n'));
  if (files.length === 0) {
    texts.push(...(await context.input.readStdin()).toString('utf8').split('\n'));
  }
  const story = tellStory(texts, id);
  if (story.unreadable > 0) {
    context.output.notice(`${story.unreadable} lines could not be read and are left out`);
  }
  if (story.lines.length === 0) {
    throw new ClientError('refused', `no line of these logs names "${id}"`);
  }
  context.output.result(story, formatStory(story));
}
