import { ClientError } from '../clientError.js';
import type { CommandContext } from '../commandContext.js';
import { buildTimeline, type JobTimeline, type LogLine } from '../jobTimeline.js';

/** Shortest part of an id that distinguishes jobs. */
const MIN_ID_LENGTH = 4;

function formatValue(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}

function formatLine({ time, instance, level, message, ...fields }: LogLine): string {
  const details = Object.entries(fields).map(([name, value]) => `${name}=${formatValue(value)}`);
  const isNormal = level === 'info' || level === 'notice';
  const levelLabel = isNormal ? '' : ` ${level}:`;
  return [`${time} ${instance ?? '-'}${levelLabel} ${message}`, ...details].join('  ');
}

function formatTimeline({ lines, longestGap }: JobTimeline): string {
  const text = lines.map(formatLine);
  if (longestGap) {
    const { ms, before } = longestGap;
    text.push(`longest wait: ${ms} ms before "${before.message}" at ${before.time}`);
  }
  return text.join('\n');
}

/** `explain <id> [...files]`: shows from logs what happened to a job, step or run. */
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
  const timeline = buildTimeline(texts, id);
  if (timeline.unreadable > 0) {
    context.output.notice(`${timeline.unreadable} lines could not be parsed and are skipped`);
  }
  if (timeline.lines.length === 0) {
    throw new ClientError('refused', `no log line names "${id}"`);
  }
  context.output.result(timeline, formatTimeline(timeline));
}
