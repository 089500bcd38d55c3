import type { ServerResponse } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';

import type { AttemptTable } from './attemptTable.js';
import type { StandInBehaviour, StandInInstruction } from './standInOptions.js';

/** Prefix that distinguishes a response body from the request body. */
const ECHO_PREFIX = 'echo:';

/** A request whose body has been read. */
export interface ReceivedRequest {
  attempt: string;
  token: number;
  body: Buffer;
  res: ServerResponse;
  behaviour: StandInBehaviour;
}

/** Parses instructions from a request body; a body that is not a JSON object has none. */
export function readInstruction(body: Buffer): StandInInstruction {
  if (body[0] !== '{'.charCodeAt(0)) return {};
  try {
    return JSON.parse(body.toString()) as StandInInstruction;
  } catch {
    return {};
  }
}

/** Returns the response body that a healthy stand-in sends for the request body `body`. */
export function buildEchoBody(body: Buffer): Buffer {
  const echo = Buffer.concat([Buffer.from(ECHO_PREFIX), body]);
  const { bytes } = readInstruction(body);
  return bytes === undefined ? echo : Buffer.alloc(bytes, echo);
}

async function writePieces(
  res: ServerResponse,
  responseBody: Buffer,
  { pieces = 1, pieceMs = 0 }: StandInInstruction,
): Promise<void> {
  const length = Math.max(1, Math.ceil(responseBody.length / pieces));
  for (let at = 0; at < responseBody.length; at += length) {
    if (at > 0) await delay(pieceMs);
    if (res.destroyed) return;
    if (!res.write(responseBody.subarray(at, at + length))) {
      await new Promise((resolve) => {
        res.once('drain', resolve);
        res.once('close', resolve);
      });
    }
  }
}

/** Executes a request according to its instructions and the endpoint's behaviour. */
export async function executeRequest(
  { attempt, token, body, res, behaviour }: ReceivedRequest,
  attempts: AttemptTable,
): Promise<void> {
  const instruction = readInstruction(body);
  if (!attempts.startRequest({ attempt, token, marker: instruction.marker })) {
    res.writeHead(409).end();
    return;
  }
  if (behaviour.hangs) {
    res.once('close', () => attempts.endAttempt(attempt, 'stopped', 'connection closed'));
    return;
  }
  const sleepMs = (instruction.sleepMs ?? 0) + behaviour.slowMs;
  if (sleepMs > 0 && !behaviour.failsEverything) await delay(sleepMs);
  const status = behaviour.failsEverything ? 500 : (instruction.failWith ?? 200);
  const responseBody = buildEchoBody(body);
  const truncateAt = behaviour.closesAfterFirstByte ? 1 : instruction.cutAfterBytes;
  const headers = instruction.chunked ? {} : { 'content-length': String(responseBody.length) };
  res.writeHead(status, { 'content-type': 'application/octet-stream', ...headers });
  await writePieces(res, responseBody.subarray(0, truncateAt), instruction);
  attempts.endAttempt(attempt, status < 500 && truncateAt === undefined ? 'succeeded' : 'failed');
  if (truncateAt === undefined) res.end();
  else setImmediate(() => res.destroy());
}
