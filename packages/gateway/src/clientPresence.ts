import type { IncomingMessage } from 'node:http';

/**
 * Turns of the event loop after which a close that arrived together with a request has been read:
 * one reads the request and the next one the close.
 */
const EVENT_LOOP_TURNS = 2;

/**
 * Resolves with whether the client of a request has already closed its connection. An instance that
 * was suspended reads requests that their clients have given up, and may have cancelled or undone at
 * another instance.
 */
export async function hasClientLeft({ socket }: IncomingMessage): Promise<boolean> {
  for (let turn = 0; turn < EVENT_LOOP_TURNS; turn += 1) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
  return socket.destroyed || socket.readableEnded;
}
