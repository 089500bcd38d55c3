import { connect, type Socket } from 'node:net';

/** What hostile clients send. */
export const HOSTILE_KINDS = [
  'bodies in tiny chunks',
  'bodies in large chunks',
  'pipelined requests',
  'pipelined requests without headers',
  'nothing',
] as const;

export type HostileKind = (typeof HOSTILE_KINDS)[number];

/** Target and number of hostile clients. */
export interface HostileClientsOptions {
  kind: HostileKind;
  count: number;
  /** `host:port`. */
  address: string;
  /** Path of the pipelined requests. */
  path: string;
  /** Path and method of the requests with bodies. */
  bodyPath: string;
  bodyMethod: string;
  /** Bytes of each body, just short of its end. */
  bodyBytes: number;
  /** Bytes of pipelined requests that each client sends. */
  pipelinedBytes: number;
}

/** Times that a client connects again after its connection was closed. */
const MAX_RECONNECTS = 2;

/** Time without any progress of all clients after which the crowd has settled. */
const SETTLE_MS = 2000;

const MAX_SETTLE_MS = 40_000;
const CHECK_INTERVAL_MS = 100;
const LARGE_CHUNK_BYTES = 16_384;
const WRITE_BYTES = 65_536;

function createChunk(bytes: number): string {
  return `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;
}

/** Clients that send requests and never read a response; all use one prepared text. */
export class HostileClients implements Disposable {
  private readonly opts: HostileClientsOptions;
  private readonly sockets = new Set<Socket>();
  private readonly head: string;
  private readonly repeated: Buffer;
  private readonly totalBytes: number;
  private writtenBytes = 0;
  private isDisposed = false;

  constructor(opts: HostileClientsOptions) {
    this.opts = opts;
    const { bodyMethod, bodyPath, path, address, bodyBytes, pipelinedBytes } = opts;
    const hostHeader = `host: ${address}\r\n`;
    const bodyHead = `${bodyMethod} ${bodyPath} HTTP/1.1\r\n${hostHeader}transfer-encoding: chunked\r\n\r\n`;
    const unit = {
      'bodies in tiny chunks': createChunk(1),
      'bodies in large chunks': createChunk(LARGE_CHUNK_BYTES),
      'pipelined requests': `GET ${path} HTTP/1.1\r\n${hostHeader}\r\n`,
      'pipelined requests without headers': `POST ${path} HTTP/1.1\r\n\r\n`,
      nothing: '',
    }[opts.kind];
    const hasBody = opts.kind.startsWith('bodies');
    const chunkBytes = opts.kind === 'bodies in tiny chunks' ? 1 : LARGE_CHUNK_BYTES;
    const bodyUnits = Math.ceil(bodyBytes / chunkBytes) - 1;
    this.head = hasBody ? bodyHead : '';
    this.totalBytes = hasBody ? bodyUnits * unit.length : pipelinedBytes;
    if (opts.kind === 'nothing') this.totalBytes = 0;
    const copies = Math.ceil(WRITE_BYTES / Math.max(1, unit.length));
    this.repeated = Buffer.from(unit.repeat(copies));
  }

  /** Resolves when no client makes any progress any more; their connections stay open. */
  async run(): Promise<void> {
    for (let i = 0; i < this.opts.count; i += 1) this.connect(MAX_RECONNECTS);
    const endMs = performance.now() + MAX_SETTLE_MS;
    let lastBytes = -1;
    let settledMs = 0;
    while (settledMs < SETTLE_MS && performance.now() < endMs) {
      await new Promise((resolve) => {
        setTimeout(resolve, CHECK_INTERVAL_MS);
      });
      settledMs = lastBytes === this.writtenBytes ? settledMs + CHECK_INTERVAL_MS : 0;
      lastBytes = this.writtenBytes;
    }
  }

  [Symbol.dispose](): void {
    this.isDisposed = true;
    for (const socket of this.sockets) socket.destroy();
  }

  private connect(reconnects: number): void {
    const { address } = this.opts;
    const separator = address.lastIndexOf(':');
    const host = address.slice(0, separator);
    const port = Number(address.slice(separator + 1));
    const socket = connect({ host, port });
    this.sockets.add(socket);
    socket.pause();
    socket.on('error', () => {});
    socket.on('close', () => {
      this.sockets.delete(socket);
      if (reconnects > 0 && !this.isDisposed) this.connect(reconnects - 1);
    });
    socket.once('connect', () => {
      socket.write(this.head);
      this.write(socket, 0);
    });
  }

  /** Writes the rest of the text with backpressure, so that this process holds little of it. */
  private write(socket: Socket, offset: number): void {
    if (offset >= this.totalBytes || socket.destroyed) return;
    const piece = this.repeated.subarray(0, this.totalBytes - offset);
    const next = (): void => this.write(socket, offset + piece.length);
    this.writtenBytes += piece.length;
    if (socket.write(piece)) setImmediate(next);
    else socket.once('drain', next);
  }
}
