import type { IncomingMessage } from 'node:http';
import { PassThrough, type Readable } from 'node:stream';

import { RefusalError } from '@lagoongap/model/refusalError.js';

import { BodyBuffer } from './bodyBuffer.js';
import { createChunkCounter } from './chunkPacer.js';
import { refuse } from './httpResponse.js';
import { findReservation } from './requestBudget.js';

/** Maximum size of a body that is buffered, so that a retry can send it again. */
const MAX_REPLAYABLE_BYTES = 1024 * 1024;

/** Maximum time between two chunks; a stalled caller must not occupy an admission slot forever. */
const BODY_IDLE_TIMEOUT_MS = 30_000;

function createIdleError(): RefusalError {
  return new RefusalError({
    type: 'deadline-exceeded',
    runState: 'not-run',
    message: `no data of the body was received for ${BODY_IDLE_TIMEOUT_MS} ms`,
  });
}

/** Body of a caller's request. */
export interface CallerBody {
  /** The whole body if it is replayable, otherwise a stream that can be read only once. */
  content: Buffer | Readable;
  isReplayable: boolean;
}

function streamRest(req: IncomingMessage, head: Buffer, maxBytes: number): Readable {
  const stream = new PassThrough();
  let size = head.length;
  stream.write(head);
  req.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size > maxBytes) {
      stream.destroy(new Error(`the body has more than ${maxBytes} bytes`));
      req.pause();
      return;
    }
    if (!stream.write(chunk)) req.pause();
  });
  stream.on('drain', () => req.resume());
  req.on('end', () => stream.end());
  req.on('error', (err) => stream.destroy(err));
  req.on('close', () => {
    if (!req.complete) stream.destroy(new Error('the caller closed the connection'));
  });
  req.resume();
  return stream;
}

/**
 * Buffers a body of up to `MAX_REPLAYABLE_BYTES` so that it can be sent again. Larger bodies
 * are streamed and allow a single attempt.
 */
export function readCallerBody(req: IncomingMessage, maxBytes: number): Promise<CallerBody> {
  const declaredBytes = Number(req.headers['content-length'] ?? 0);
  if (declaredBytes > maxBytes) {
    refuse(
      'body-too-large',
      `the body has ${declaredBytes} bytes, at most ${maxBytes} are allowed`,
    );
  }
  return new Promise((resolve, reject) => {
    const buffer = new BodyBuffer();
    const reservation = findReservation(req);
    const countChunk = createChunkCounter(req);
    const onIdle = (): void => {
      // eslint-disable-next-line @typescript-eslint/no-use-before-define
      cleanUp();
      reject(createIdleError());
    };
    const idleTimer = setTimeout(onIdle, BODY_IDLE_TIMEOUT_MS);
    const cleanUp = (): void => {
      clearTimeout(idleTimer);
      req.removeAllListeners('data');
      req.removeAllListeners('end');
      req.removeAllListeners('close');
      if (reservation) reservation.onEvicted = undefined;
    };
    const fail = (err: Error): void => {
      cleanUp();
      // Paused, the request would keep each chunk that has been parsed as an object of its own.
      req.resume();
      buffer.clear();
      reject(err);
    };
    if (reservation) reservation.onEvicted = fail;
    req.on('data', (chunk: Buffer) => {
      countChunk();
      idleTimer.refresh();
      buffer.append(chunk);
      try {
        reservation?.resize(buffer.allocatedBytes);
      } catch (err) {
        fail(err as Error);
        return;
      }
      if (buffer.length <= MAX_REPLAYABLE_BYTES) return;
      cleanUp();
      req.pause();
      const content = streamRest(req, buffer.take(), maxBytes);
      resolve({ content, isReplayable: false });
    });
    req.on('end', () => {
      cleanUp();
      resolve({ content: buffer.take(), isReplayable: true });
    });
    req.on('close', () => {
      cleanUp();
      reject(new Error('the caller closed the connection before the body was complete'));
    });
  });
}
