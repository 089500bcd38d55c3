import fs from 'node:fs';

import { delay } from '@lagoongap/model/delay.js';
import { BoundedStream } from '@lagoongap/telemetry/boundedStream.js';
import { LOG_LEVELS, type LogLevel } from '@lagoongap/telemetry/logger.js';

const SIGNIFICANT_LEVELS = ['notice', 'warn', 'error'] as const;

/** Lines written in one event-loop iteration. */
const LINES_PER_ITERATION = 50;

/** Time that the stream gets to write the last lines. */
const FLUSH_WAIT_MS = 200;

const lineCount = Number(process.argv[2]);
/** Every so many lines one is about a change of leader or a failure, in turn; 0 for none. */
const significantInterval = Number(process.argv[3] ?? 0);

function levelOf(line: number): LogLevel {
  if (significantInterval === 0 || line % significantInterval !== 0) return 'info';
  return SIGNIFICANT_LEVELS[(line / significantInterval) % SIGNIFICANT_LEVELS.length]!;
}

/**
 * Time in milliseconds for which this process has waited for a processor. A busy machine makes the
 * process wait as well; only the rest of a pause can be a blocking write.
 */
function readQueueMs(): number {
  const [, queuedNs] = fs.readFileSync('/proc/self/schedstat', 'utf8').split(' ');
  return Number(queuedNs) / 1e6;
}

const stream = new BoundedStream();
let longestPauseMs = 0;
let lastMs = performance.now() - readQueueMs();
for (let line = 0; line < lineCount; line += 1) {
  const level = levelOf(line);
  stream.write(`${JSON.stringify({ line, level, text: 'x'.repeat(200) })}\n`, level);
  if (line % LINES_PER_ITERATION !== 0) continue;
  await delay(1);
  const nowMs = performance.now() - readQueueMs();
  longestPauseMs = Math.max(longestPauseMs, nowMs - lastMs);
  lastMs = nowMs;
}
await delay(FLUSH_WAIT_MS);
const byLevel = Object.fromEntries(LOG_LEVELS.map((level) => [level, stream.countDropped(level)]));
const leftOut = stream.droppedLineCount;
process.stderr.write(`${JSON.stringify({ longestPauseMs, leftOut, byLevel })}\n`);
