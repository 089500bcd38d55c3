import type { Readable } from 'node:stream';

import type { AttemptAction, StartOrder } from '@lagoongap/model/endpoint.js';

/** Request to relay to an endpoint. */
export interface RelayRequest {
  /** Base URL of the endpoint. */
  url: string;
  attempt: string;
  token: number;
  team: string;
  work: string;
  /** Headers of the caller, lower-case names; those not meant for endpoints are removed. */
  headers: Record<string, string>;
  body: Readable | Buffer;
  /** Remaining time for the whole exchange, in milliseconds. */
  deadlineMs: number;
  /** Aborted when the caller disconnects. */
  signal?: AbortSignal;
  /** Called directly before the first byte is written; throws to prevent the exchange. */
  beforeSend?: () => void;
  /** Whether the request must run at most once; it is then sent only over a new connection. */
  noRepeat?: boolean;
}

/** Response of an endpoint; a truncated body ends with an error. */
export interface RelayResponse {
  status: number;
  headers: Record<string, string | string[]>;
  body: Readable;
}

/** State of an attempt as reported by its endpoint. */
export type AttemptPresence = 'running' | 'finished' | 'absent';

/** Result of a start order. */
export type StartResult = 'started' | 'refused-stale' | 'refused';

/**
 * Client for HTTP exchanges with endpoints: one request and its response each. A failed exchange
 * raises ExchangeError, whose `runState` is `not-run` if certainly no byte was sent and `unknown`
 * otherwise.
 */
export interface EndpointClient extends AsyncDisposable {
  relay(req: RelayRequest): Promise<RelayResponse>;
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
