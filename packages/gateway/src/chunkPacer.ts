import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

interface ReadableHandle {
  readStart?: () => void;
  readStop?: () => void;
}

type HandledSocket = Socket & { _handle?: ReadableHandle | null };

/** Chunks of a body that are parsed in one iteration of the event loop, with the rest of a block. */
const MAX_CHUNKS_PER_TURN = 4096;

/**
 * Spreads the parsing of bodies in tiny chunks over iterations of the event loop. A chunk takes some
 * 3.5 µs however small it is, and Node.js reads up to 2 MiB of a connection before it turns to
 * others: bodies of one-byte chunks blocked the event loop for more than 0.8 s, longer than a leader
 * keeps its validity. The connections concerned take turns, one block each.
 *
 * Pausing the request instead would keep each chunk that has been parsed as an object of its own, and
 * a paused connection is resumed by its request; so the handle below it is stopped. Without this
 * interface of Node.js, bodies are not paced.
 */
class ChunkPacer {
  private readonly stopped: HandledSocket[] = [];
  private isScheduled = false;

  /** Stops reading from a connection until its turn. */
  pause(socket: HandledSocket): void {
    const handle = socket._handle;
    if (!handle?.readStop || !handle.readStart || this.stopped.includes(socket)) return;
    handle.readStop();
    this.stopped.push(socket);
    this.schedule();
  }

  private schedule(): void {
    if (this.isScheduled || this.stopped.length === 0) return;
    this.isScheduled = true;
    setImmediate(() => {
      this.isScheduled = false;
      const socket = this.stopped.shift();
      // A connection that the server has paused meanwhile is resumed by the server.

      if (socket && !socket.destroyed && !socket.isPaused()) socket._handle?.readStart?.();
      this.schedule();
    });
  }
}

const pacer = new ChunkPacer();

/** Returns a function to be called for each chunk of a body, which paces its connection. */
export function createChunkCounter(req: IncomingMessage): () => void {
  let chunks = 0;
  return () => {
    chunks += 1;
    if (chunks % MAX_CHUNKS_PER_TURN === 0) pacer.pause(req.socket);
  };
}
