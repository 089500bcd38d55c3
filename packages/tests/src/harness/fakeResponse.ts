import { Writable } from 'node:stream';

/** HTTP response that collects in memory what the caller would receive. */
export class FakeResponse extends Writable {
  status = 0;
  headersSent = false;
  private readonly chunks: Buffer[] = [];

  get body(): string {
    return Buffer.concat(this.chunks).toString();
  }

  writeHead(status: number): this {
    this.status = status;
    this.headersSent = true;
    return this;
  }

  override _write(chunk: Buffer, _encoding: BufferEncoding, done: () => void): void {
    this.chunks.push(chunk);
    done();
  }
}
