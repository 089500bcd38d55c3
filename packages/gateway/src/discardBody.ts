import type { IncomingMessage } from 'node:http';

/** Maximum bytes of a refused body to read; the connection is closed if the body is larger. */
const MAX_DISCARDED_BYTES = 64 * 1024 * 1024;
/** Maximum number of chunks to read; each takes time to parse, however small it is. */
const MAX_DISCARDED_CHUNKS = 8192;
/** Maximum time to read them; the connection is closed if the caller sends more slowly. */
const MAX_DISCARD_MS = 2000;

/**
 * Reads and discards the rest of a refused body, up to a size and time limit. Closing a
 * connection with unread bytes resets it, and the caller may then not receive the refusal.
 */
export function discardBody(req: IncomingMessage): Promise<void> {
  if (req.complete || req.destroyed) return Promise.resolve();
  return new Promise((resolve) => {
    let discardedBytes = 0;
    let discardedChunks = 0;
    let timer: NodeJS.Timeout | undefined;
    const finish = (): void => {
      clearTimeout(timer);
      req.removeAllListeners('data');
      // What still arrives until the connection closes is dropped.
      req.resume();
      resolve();
    };
    timer = setTimeout(finish, MAX_DISCARD_MS);
    req.removeAllListeners('data');
    req.on('data', (chunk: Buffer) => {
      discardedBytes += chunk.length;
      discardedChunks += 1;
      if (discardedBytes > MAX_DISCARDED_BYTES || discardedChunks > MAX_DISCARDED_CHUNKS) finish();
    });
    req.once('end', finish);
    req.once('close', finish);
    req.resume();
  });
}
