import type { IncomingMessage } from 'node:http';

/** Most bytes of a refused body that are read; larger ones lose the connection. */
const MAX_DISCARDED_BYTES = 64 * 1024 * 1024;
/** Longest time for that; a caller that sends more slowly loses the connection. */
const MAX_DISCARD_MS = 2000;

/**
 * Reads and drops the rest of a refused body, within bounds. Closing a connection with
 * unread bytes resets it, and the caller may then lose the refusal that was sent before.
 */
export function discardBody(req: IncomingMessage): Promise<void> {
  if (req.complete || req.destroyed) return Promise.resolve();
  return new Promise((resolve) => {
    let size = 0;
    let timer: NodeJS.Timeout | undefined;
    const finish = (): void => {
      clearTimeout(timer);
      resolve();
    };
    timer = setTimeout(finish, MAX_DISCARD_MS);
    req.removeAllListeners('data');
    req.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > MAX_DISCARDED_BYTES) finish();
    });
    req.once('end', finish);
    req.once('close', finish);
    req.resume();
  });
}
