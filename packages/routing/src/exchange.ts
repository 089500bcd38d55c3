import type { Readable } from 'node:stream';

import type { AttemptAction, StartOrder } from '@lagoongap/model/endpoint.js';

/** A request to be relayed to an endpoint. */
export interface RelayRequest {
  /** Base URL of the endpoint. */
  url: string;
  attempt: string;
  token: number;
  team: string;
  work: string;
  /** Headers of the caller that the endpoint gets, lower-case names. */
  headers: Record<string, string>;
  body: Readable | Buffer;
  /** Time left for the whole exchange, in milliseconds. */
  deadlineMs: number;
  /** Aborted when the caller has gone. */
  signal?: AbortSignal;
  /** Called directly before the first byte is written; throws to prevent the exchange. */
  beforeSend?: () => void;
  /** Must run at most once; such a request is never sent over a connection used before. */
  noRepeat?: boolean;
}

/** Answer of an endpoint; the body ends with an error if it was cut off. */
export interface RelayAnswer {
  status: number;
  headers: Record<string, string | string[]>;
  body: Readable;
}

/** State of an attempt as its endpoint tells it. */
export type AttemptPresence = 'running' | 'finished' | 'absent';

/** How an endpoint reacted to a start order. */
export type StartResult = 'started' | 'refused-stale' | 'refused';

/**
 * HTTP exchange with endpoints. Failures raise ExchangeError, whose `runState`
 * is `not-run` if certainly no byte was sent and `unknown` otherwise.
 */
export interface Exchange extends AsyncDisposable {
  relay(req: RelayRequest): Promise<RelayAnswer>;
  startTask(
    url: string,
    order: StartOrder,
    opts: { timeoutMs: number; beforeSend?: () => void },
  ): Promise<StartResult>;
  sendAction(
    url: string,
    attempt: string,
    action: AttemptAction,
    opts: { timeoutMs: number; beforeSend?: () => void },
  ): Promise<void>;
  probeAttempt(url: string, attempt: string, opts: { timeoutMs: number }): Promise<AttemptPresence>;
}
