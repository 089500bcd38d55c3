import type { ServerResponse } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';

import type { AttemptTable } from './attemptTable.js';
import type { StandInBehaviour, StandInInstruction } from './standInOptions.js';

/** Prefix of an answer, which tells it apart from the request body. */
const ECHO_PREFIX = 'echo:';

/** A request whose body has been read. */
export interface ReceivedRequest {
  attempt: string;
  token: number;
  body: Buffer;
  res: ServerResponse;
  behaviour: StandInBehaviour;
}

/** Reads instructions from a request body; a body that is not a JSON object has none. */
export function readInstruction(body: Buffer): StandInInstruction {
  if (body[0] !== '{'.charCodeAt(0)) return {};
  try {
    return JSON.parse(body.toString()) as StandInInstruction;
  } catch {
    return {};
  }
}

/** Returns the body that a sound stand-in answers `body` with. */
export function buildEcho(body: Buffer): Buffer {
  const echo = Buffer.concat([Buffer.from(ECHO_PREFIX), body]);
  const { bytes } = readInstruction(body);
  return bytes === undefined ? echo : Buffer.alloc(bytes, echo);
}

async function writePieces(
  res: ServerResponse,
  answer: Buffer,
  { pieces = 1, pieceMs = 0 }: StandInInstruction,
): Promise<void> {
  const length = Math.max(1, Math.ceil(answer.length / pieces));
  for (let at = 0; at < answer.length; at += length) {
    if (at > 0) await delay(pieceMs);
    if (res.destroyed) return;
    if (!res.write(answer.subarray(at, at + length))) {
      await new Promise((resolve) => {
        res.once('drain', resolve);
        res.once('close', resolve);
      });
    }
  }
}

/** Runs a request as its body and the endpoint's behaviour say, and answers it. */
export async function answerRequest(
  { attempt, token, body, res, behaviour }: ReceivedRequest,
  attempts: AttemptTable,
): Promise<void> {
  const instruction = readInstruction(body);
  if (!attempts.startRequest({ attempt, token, marker: instruction.marker })) {
    res.writeHead(409).end();
    return;
  }
  if (behaviour.hangs) {
    res.once('close', () => attempts.end(attempt, 'stopped', 'connection closed'));
    return;
  }
  const sleepMs = (instruction.sleepMs ?? 0) + behaviour.slowMs;
  if (sleepMs > 0 && !behaviour.failsEverything) await delay(sleepMs);
  const status = behaviour.failsEverything ? 500 : (instruction.failWith ?? 200);
  const answer = buildEcho(body);
  const cutAt = behaviour.closesAfterFirstByte ? 1 : instruction.cutAfterBytes;
  const headers = instruction.chunked ? {} : { 'content-length': String(answer.length) };
  res.writeHead(status, { 'content-type': 'application/octet-stream', ...headers });
  await writePieces(res, answer.subarray(0, cutAt), instruction);
  attempts.end(attempt, status < 500 && cutAt === undefined ? 'succeeded' : 'failed');
  if (cutAt === undefined) res.end();
  else setImmediate(() => res.destroy());
}
