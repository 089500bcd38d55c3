import type { Readable } from 'node:stream';

import { toError } from '@lagoongap/model/toError.js';

import { ExchangeError } from './exchangeError.js';

/**
 * Body of a request to an endpoint. The stream is not destroyed on failure, because it may belong
 * to a caller's connection on which a response is still to be sent.
 */
export class RequestBody {
  /** Whether the whole body has been read. */
  isRead: boolean;
  /** Whether the next chunk of the caller is awaited. */
  isAwaitingCaller = false;
  /** Called whenever a chunk, or the end, has been read. */
  onRead: () => void = () => {};

  constructor(private readonly body: Readable | Buffer) {
    this.isRead = Buffer.isBuffer(body);
  }

  /**
   * Reads the first chunk, so that a connection is acquired and the checks before sending are made
   * only when there is data to write.
   *
   * @returns the whole body, the first chunk included, or null if it is empty.
   */
  async open(): Promise<Buffer | AsyncIterable<Buffer> | null> {
    if (Buffer.isBuffer(this.body)) return this.body;
    const source = this.body.iterator({ destroyOnReturn: false });
    try {
      const first = await this.readNext(source);
      return first.done ? null : this.readAll(source, first);
    } catch (err) {
      const message = 'the request body was cut off before anything was sent';
      throw new ExchangeError('caller-gone', 'not-run', message, toError(err));
    }
  }

  private async *readAll(
    source: AsyncIterator<Buffer>,
    first: IteratorResult<Buffer>,
  ): AsyncGenerator<Buffer> {
    let next = first;
    while (!next.done) {
      yield next.value;
      next = await this.readNext(source);
    }
  }

  private async readNext(source: AsyncIterator<Buffer>): Promise<IteratorResult<Buffer>> {
    this.isAwaitingCaller = true;
    const next = await source.next();
    this.isAwaitingCaller = false;
    this.isRead = next.done === true;
    this.onRead();
    return next;
  }
}
