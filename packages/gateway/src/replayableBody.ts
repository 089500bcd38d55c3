import type { IncomingMessage } from 'node:http';
import { PassThrough, type Readable } from 'node:stream';

import { RefusalError } from '@lagoongap/model/refusalError.js';

import { refuse } from './httpReply.js';

/** Bodies up to this size are kept, so that another attempt can send them again. */
const REPLAY_BYTES = 1024 * 1024;

/** Longest pause in a body; a caller that stops sending must not hold its place for ever. */
const BODY_IDLE_MS = 30_000;

function createIdleError(): RefusalError {
  return new RefusalError({
    type: 'deadline-exceeded',
    runState: 'not-run',
    message: `no byte of the body arrived for ${BODY_IDLE_MS} ms`,
  });
}

/** Body of a caller's request. */
export interface CallerBody {
  /** The whole body if it can be sent again, otherwise a stream that can be read once. */
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
 * Reads a body as far as it may have to be sent again. Larger bodies are streamed
 * and allow a single attempt.
 */
export function readCallerBody(req: IncomingMessage, maxBytes: number): Promise<CallerBody> {
  const declared = Number(req.headers['content-length'] ?? 0);
  if (declared > maxBytes) {
    refuse('body-too-large', `the body has ${declared} bytes, at most ${maxBytes} are taken`);
  }
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const onIdle = (): void => {
      // eslint-disable-next-line @typescript-eslint/no-use-before-define
      cleanUp();
      reject(createIdleError());
    };
    let idleTimer = setTimeout(onIdle, BODY_IDLE_MS);
    const cleanUp = (): void => {
      clearTimeout(idleTimer);
      req.removeAllListeners('data');
      req.removeAllListeners('end');
      req.removeAllListeners('close');
    };
    req.on('data', (chunk: Buffer) => {
      clearTimeout(idleTimer);
      idleTimer = setTimeout(onIdle, BODY_IDLE_MS);
      chunks.push(chunk);
      size += chunk.length;
      if (size <= REPLAY_BYTES) return;
      cleanUp();
      req.pause();
      const content = streamRest(req, Buffer.concat(chunks), maxBytes);
      resolve({ content, isReplayable: false });
    });
    req.on('end', () => {
      cleanUp();
      resolve({ content: Buffer.concat(chunks), isReplayable: true });
    });
    req.on('close', () => {
      cleanUp();
      reject(new Error('the caller closed the connection before the body was complete'));
    });
  });
}
