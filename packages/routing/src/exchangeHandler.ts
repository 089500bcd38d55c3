import { Readable } from 'node:stream';

import { toError } from '@lagoongap/model/toError.js';
import type { Dispatcher } from 'undici';

import type { Deadline } from './deadline.js';
import type { EndpointConnection } from './endpointConnection.js';
import { ExchangeError, type ExchangeFailure } from './exchangeError.js';

/** Status and headers of an answer whose body may still be on its way. */
export interface ResponseHead {
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
  /** Checks the start of the answer; throws ExchangeError to discard the answer. */
  checkHead?: (start: Omit<ResponseHead, 'body'>) => void;
}

const NO_BODY_STATUS = new Set([204, 304]);

/** Follows one exchange on one connection and knows whether anything has been sent. */
export class ExchangeHandler implements Dispatcher.DispatchHandler {
  /** Start of the answer; rejects with ExchangeError. */
  readonly answer: Promise<ResponseHead>;
  /** Called when the request is sent and whenever a part of the answer has arrived. */
  onActivity: () => void = () => {};
  /** Called once when the exchange is over; `isSound` if the answer is complete. */
  onSettled: (isSound: boolean) => void = () => {};
  private resolveResponse!: (start: ResponseHead) => void;
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

  /** Whether the endpoint owes nothing: nothing is sent yet, or the receiver holds back. */
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

  /** Called by the client on a connected socket, in the same turn in which it writes. */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.isSettled) {
      controller.abort(new Error('the exchange is over'));
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
    headers: ResponseHead['headers'],
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
    const fault = this.findTruncation();
    if (fault !== undefined) {
      this.fail('answer-cut', fault);
      return;
    }
    this.settle(true);
    this.body!.push(null);
  }

  onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
    if (!this.isSent) this.fail('refused-connection', 'no connection to the endpoint', err);
    else if (this.body !== undefined) this.fail('answer-cut', 'the answer broke off', err);
    else this.fail('connection-lost', 'the connection was lost before an answer', err);
  }

  private callBeforeSend(controller: Dispatcher.DispatchController): void {
    try {
      this.opts.beforeSend?.();
      this.isSent = true;
      this.onActivity();
    } catch (err) {
      this.fail('prevented', 'sending was prevented', toError(err));
      controller.abort(toError(err));
    }
  }

  /**
   * Returns what is missing from the answer, if anything. An answer that ends with its connection
   * instead of by its own framing is never complete, because a cut could not be told from its end.
   */
  private findTruncation(): string | undefined {
    if (this.expectedBytes !== undefined) {
      if (this.receivedBytes === this.expectedBytes) return undefined;
      return `${this.receivedBytes} of ${this.expectedBytes} bytes of the answer have arrived`;
    }
    if (!this.isChunked) return 'the answer has neither a length nor chunks';
    if (this.opts.connection.isEnded) return 'the connection ended before the last chunk';
    return undefined;
  }

  private createBody(controller: Dispatcher.DispatchController): Readable {
    const body = new Readable({
      read: () => {
        if (controller.paused) controller.resume();
      },
      destroy: (err, callback) => {
        this.fail('caller-gone', 'the receiver of the answer has gone', err ?? undefined);
        callback(err);
      },
    });
    // An error may arise before the receiver has got hold of the body; it stays visible there.
    body.on('error', () => {});
    return body;
  }

  private settle(isSound: boolean): void {
    this.isSettled = true;
    this.onSettled(isSound);
  }
}
