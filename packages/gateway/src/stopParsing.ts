import type { Duplex } from 'node:stream';

interface ParsedSocket extends Duplex {
  parser?: { onIncoming?: unknown } | null;
}

/** Result of a header callback with which the parser of Node.js reads nothing further. */
const SKIP_REST = 2;

/**
 * Closes a connection and makes its parser ignore what it has already received. Destroying the
 * connection alone does not stop the parser: it creates all further requests of the received block,
 * thousands of them if they are short. Node.js has no public interface for that; without its parser
 * the connection is destroyed only.
 */
export function stopParsing(socket: Duplex): void {
  const { parser } = socket as ParsedSocket;
  if (parser?.onIncoming) parser.onIncoming = () => SKIP_REST;
  socket.destroy();
}
