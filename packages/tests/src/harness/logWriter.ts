import { delay } from '@lagoongap/model/delay.js';
import { BoundedStream } from '@lagoongap/telemetry/boundedStream.js';

/** Lines written in one event-loop iteration. */
const LINES_PER_ITERATION = 50;

/** Time that the stream gets to write the last lines. */
const FLUSH_WAIT_MS = 200;

const lineCount = Number(process.argv[2]);
const stream = new BoundedStream();
let longestPauseMs = 0;
let lastMs = performance.now();
for (let line = 0; line < lineCount; line += 1) {
  stream.write(`${JSON.stringify({ line, text: 'x'.repeat(200) })}\n`);
  if (line % LINES_PER_ITERATION !== 0) continue;
  await delay(1);
  const nowMs = performance.now();
  longestPauseMs = Math.max(longestPauseMs, nowMs - lastMs);
  lastMs = nowMs;
}
await delay(FLUSH_WAIT_MS);
process.stderr.write(`${JSON.stringify({ longestPauseMs, leftOut: stream.droppedLineCount })}\n`);
