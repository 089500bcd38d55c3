import { Readable } from 'node:stream';

import { toError } from '@lagoongap/model/toError.js';
import type { Dispatcher } from 'undici';

import type { Deadline } from './deadline.js';
import type { EndpointConnection } from './endpointConnection.js';
import { ExchangeError, type ExchangeFailure } from './exchangeError.js';

/** Status and headers of a response, whose body may still be in transit. */
export interface IncomingResponse {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: Readable;
}

/** Options of an {@link ExchangeHandler}. */
export interface ExchangeHandlerOptions {
  connection: EndpointConnection;
  deadline: Deadline;
  /** Called directly before the first byte is written; throws to prevent the exchange. */
  beforeSend?: () => void;
  /** Checks status and headers; throws ExchangeError to discard the response. */
  checkHead?: (head: Omit<IncomingResponse, 'body'>) => void;
}

const NO_BODY_STATUS = new Set([204, 304]);

/** Handles one exchange on one connection and tracks whether the request has been sent. */
export class ExchangeHandler implements Dispatcher.DispatchHandler {
  /** Resolves with the head of the response; rejects with ExchangeError. */
  readonly answer: Promise<IncomingResponse>;
  /** Called when the request is sent and whenever a part of the response arrives. */
  onActivity: () => void = () => {};
  /** Called once when the exchange has ended; `isComplete` if the whole response has arrived. */
  onSettled: (isComplete: boolean) => void = () => {};
  private resolveResponse!: (response: IncomingResponse) => void;
  private rejectResponse!: (err: Error) => void;
  private isSent = false;
  private isSettled = false;
  private body: Readable | undefined;
  private expectedBytes: number | undefined;
  private isChunked = false;
  private receivedBytes = 0;
  private controller: Dispatcher.DispatchController | undefined;

  constructor(private readonly opts: ExchangeHandlerOptions) {
    this.answer = new Promise((resolve, reject) => {
      this.resolveResponse = resolve;
      this.rejectResponse = reject;
    });
  }

  /**
   * Whether no activity is expected of the endpoint: the request is not sent yet, or the receiver
   * of the response applies backpressure.
   */
  get isStalledLocally(): boolean {
    return !this.isSent || this.controller?.paused === true;
  }

  /** Ends the exchange with an error and closes its connection. */
  fail(failure: ExchangeFailure, message: string, cause?: Error): void {
    if (this.isSettled) return;
    const state = this.isSent ? 'unknown' : 'not-run';
    this.settle(false);
    const err = new ExchangeError(failure, state, message, cause);
    this.rejectResponse(err);
    this.body?.destroy(err);
  }

  /** Called by the client on a connected socket, in the event-loop iteration of the write. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.isSettled) {
      controller.abort(new Error('the exchange has ended'));
    } else if (this.isSent) {
      this.fail('connection-lost', 'the connection was replaced after the request had been sent');
      controller.abort(new Error('a request is sent only once'));
    } else if (this.opts.deadline.hasPassed()) {
      this.fail('deadline-exceeded', 'the deadline passed before the request could be sent');
      controller.abort(new Error('the deadline has passed'));
    } else {
      this.callBeforeSend(controller);
    }
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingResponse['headers'],
  ): void {
    if (status < 200 || this.isSettled) return;
    this.onActivity();
    try {
      this.opts.checkHead?.({ status, headers });
    } catch (err) {
      const { failure, message } = err as ExchangeError;
      this.fail(failure, message);
      return;
    }
    const length = headers['content-length'];
    this.expectedBytes = length === undefined ? undefined : Number(length);
    if (NO_BODY_STATUS.has(status)) this.expectedBytes = 0;
    this.isChunked = headers['transfer-encoding'] !== undefined;
    this.body = this.createBody(controller);
    this.resolveResponse({ status, headers, body: this.body });
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.isSettled) return;
    this.onActivity();
    this.receivedBytes += chunk.length;
    if (!this.body!.push(chunk)) controller.pause();
  }

  onResponseEnd(): void {
    if (this.isSettled) return;
    const truncation = this.findTruncation();
    if (truncation !== undefined) {
      this.fail('answer-cut', truncation);
      return;
    }
    this.settle(true);
    this.body!.push(null);
  }

  onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
    if (!this.isSent) this.fail('refused-connection', 'could not connect to the endpoint', err);
    else if (this.body !== undefined) this.fail('answer-cut', 'the response was cut off', err);
    else this.fail('connection-lost', 'the connection was lost before a response arrived', err);
  }

  private callBeforeSend(controller: Dispatcher.DispatchController): void {
    try {
      this.opts.beforeSend?.();
      this.isSent = true;
      this.onActivity();
    } catch (err) {
      this.fail('prevented', 'the check before sending failed', toError(err));
      controller.abort(toError(err));
    }
  }

  /**
   * Returns what is missing from the response, or undefined if it is complete. A response that is
   * delimited only by the end of its connection is never complete, because truncation could not be
   * detected.
   */
  private findTruncation(): string | undefined {
    if (this.expectedBytes !== undefined) {
      if (this.receivedBytes === this.expectedBytes) return undefined;
      return `${this.receivedBytes} of ${this.expectedBytes} bytes of the response have arrived`;
    }
    if (!this.isChunked) return 'the response has neither a content length nor chunked encoding';
    if (this.opts.connection.isEnded) return 'the connection ended before the last chunk';
    return undefined;
  }

  private createBody(controller: Dispatcher.DispatchController): Readable {
    const body = new Readable({
      read: () => {
        if (controller.paused) controller.resume();
      },
      destroy: (err, callback) => {
        this.fail('caller-gone', 'the receiver of the response has disconnected', err ?? undefined);
        callback(err);
      },
    });
    // Without this listener, an error before the receiver has the body would crash the process; the
    // receiver still sees the error.
    body.on('error', () => {});
    return body;
  }

  private settle(isComplete: boolean): void {
    this.isSettled = true;
    this.onSettled(isComplete);
  }
}
