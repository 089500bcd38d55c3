import type { IncomingMessage } from 'node:http';

import { RefusalError } from '@lagoongap/model/refusalError.js';

import { BodyBuffer } from './bodyBuffer.js';
import { createChunkCounter } from './chunkPacer.js';
import { refuse } from './httpResponse.js';
import {
  checkJsonSize,
  DEFAULT_JSON_LIMITS,
  estimateCost,
  measureJson,
  type JsonLimits,
} from './jsonCost.js';
import { findReservation } from './requestBudget.js';

/** Maximum size of JSON and TOML bodies of management calls. */
export const MAX_CONTROL_BODY_BYTES = 4 * 1024 * 1024;

function createIncompleteError(): RefusalError {
  return new RefusalError({
    type: 'invalid-input',
    runState: 'not-run',
    message: 'the body is incomplete',
  });
}

/** Receives a body in a buffer that counts towards the budget of the listener, if there is one. */
class BodyReceiver {
  private readonly req: IncomingMessage;
  private readonly maxBytes: number;
  private readonly buffer = new BodyBuffer();

  constructor(req: IncomingMessage, maxBytes: number) {
    this.req = req;
    this.maxBytes = maxBytes;
  }

  /** Resolves with the whole body; rejects with a refusal, and leaves the rest of it unread. */
  receive(): Promise<Buffer> {
    const { req, buffer } = this;
    return new Promise((resolve, reject) => {
      const reservation = findReservation(req);
      const countChunk = createChunkCounter(req);
      const onData = (chunk: Buffer): void => {
        countChunk();
        try {
          this.append(chunk);
          reservation?.resize(buffer.allocatedBytes);
        } catch (err) {
          // eslint-disable-next-line @typescript-eslint/no-use-before-define
          fail(err as Error);
        }
      };
      const onEnd = (): void => {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define
        cleanUp();
        resolve(buffer.take());
      };
      const onClose = (): void => {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define
        fail(createIncompleteError());
      };
      const cleanUp = (): void => {
        req.off('data', onData);
        req.off('end', onEnd);
        req.off('close', onClose);
      };
      const fail = (err: Error): void => {
        cleanUp();
        // Paused, the request would keep each chunk that has been parsed as an object of its own.
        req.resume();
        buffer.clear();
        reject(err);
      };
      if (reservation) reservation.onEvicted = fail;
      req.on('data', onData);
      req.on('end', onEnd);
      req.on('close', onClose);
    });
  }

  private append(chunk: Buffer): void {
    if (this.buffer.length + chunk.length > this.maxBytes) {
      refuse('body-too-large', `the body has more than ${this.maxBytes} bytes`);
    }
    this.buffer.append(chunk);
  }
}

/** Reads a whole body of at most `maxBytes`; refuses larger ones. */
export async function readBody(req: IncomingMessage, maxBytes: number): Promise<Buffer> {
  const declaredBytes = Number(req.headers['content-length'] ?? 0);
  if (declaredBytes > maxBytes) {
    refuse(
      'body-too-large',
      `the body has ${declaredBytes} bytes, at most ${maxBytes} are allowed`,
    );
  }
  return new BodyReceiver(req, maxBytes).receive();
}

/**
 * Resolves when a complete body may be parsed; rejects with a refusal if it is larger than any valid
 * document, or if there is no memory for its contents.
 */
export async function admitContents(
  req: IncomingMessage,
  body: Buffer,
  limits: JsonLimits = DEFAULT_JSON_LIMITS,
): Promise<void> {
  if (body.length === 0) return;
  const size = measureJson(body);
  checkJsonSize(size, limits);
  await findReservation(req)?.acquireCost(estimateCost(body.length, size));
}

/** Reads a body and parses it as JSON. */
export async function readJson(req: IncomingMessage): Promise<unknown> {
  const body = await readBody(req, MAX_CONTROL_BODY_BYTES);
  await admitContents(req, body);
  try {
    return JSON.parse(body.toString('utf8'));
  } catch (err) {
    return refuse('invalid-input', `the body is not JSON: ${(err as Error).message}`);
  }
}
