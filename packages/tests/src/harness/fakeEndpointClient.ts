import { Readable } from 'node:stream';

import type { AttemptAction, StartOrder } from '@lagoongap/model/endpoint.js';
import { NO_RESOURCES } from '@lagoongap/model/resources.js';
import type {
  AttemptPresence,
  EndpointClient,
  RelayResponse,
  RelayRequest,
  StartResult,
} from '@lagoongap/routing/endpointClient.js';
import { ExchangeError } from '@lagoongap/routing/exchangeError.js';

import type { FakeEndpoint } from './fakeEndpoint.js';
import type { StepHooks } from './stepHooks.js';

/** Options of {@link FakeEndpointClient}. */
export interface FakeEndpointClientOptions {
  instance: string;
  /** Endpoints by URL. */
  endpoints: Map<string, FakeEndpoint>;
  hooks: StepHooks;
  /** Whether the link between the instance and an endpoint is cut, so that bytes are lost. */
  isUnreachable: (endpointId: string) => boolean;
}

const LATENCY_MS = 1;
const CONNECT_TIMEOUT_MS = 1000;
const COMPLETION_POLL_MS = 10;
const DEFAULT_REQUEST_RUN_MS = 30;

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Exchange with in-memory endpoints. Once disposed, it sends and receives nothing. */
export class FakeEndpointClient implements EndpointClient {
  private readonly opts: FakeEndpointClientOptions;
  private isClosed = false;

  constructor(opts: FakeEndpointClientOptions) {
    this.opts = opts;
  }

  async relay(req: RelayRequest): Promise<RelayResponse> {
    const { hooks, instance } = this.opts;
    const endpoint = await this.connect(req.url);
    const peer = endpoint.announcement.id;
    hooks.reportStep('dispatch', { instance, peer });
    this.assertOpen();
    this.runBeforeSend(req.beforeSend);
    await wait(LATENCY_MS);
    if (this.opts.isUnreachable(peer)) {
      await wait(CONNECT_TIMEOUT_MS);
      throw new ExchangeError('connection-lost', 'unknown', 'no response');
    }
    hooks.reportStep('start', { instance, peer });
    const text = String(req.body);
    const { marker, sleepMs = DEFAULT_REQUEST_RUN_MS } = JSON.parse(text);
    const order = {
      kind: 'request' as const,
      attempt: req.attempt,
      token: req.token,
      job: req.attempt,
      taskIndex: 0,
      team: req.team,
      work: req.work,
      size: { ...NO_RESOURCES, slots: 1 },
      leaseMs: 0,
    };
    if (!endpoint.startAttempt(order, marker, sleepMs)) {
      throw new ExchangeError('connection-lost', 'unknown', 'the endpoint closed the connection');
    }
    await this.awaitCompletion(endpoint, req.attempt);
    hooks.reportStep('answer', { instance, peer });
    if (this.isClosed || this.opts.isUnreachable(peer)) {
      throw new ExchangeError('connection-lost', 'unknown', 'the connection was lost');
    }
    await wait(LATENCY_MS);
    return { status: 200, headers: {}, body: Readable.from([Buffer.from(`echo:${text}`)]) };
  }

  /** Waits until the attempt has ended. The endpoint keeps running it after a lost connection. */
  private async awaitCompletion(endpoint: FakeEndpoint, attempt: string): Promise<void> {
    while (endpoint.isRunning(attempt)) {
      await wait(COMPLETION_POLL_MS);
      if (this.isClosed || this.opts.isUnreachable(endpoint.announcement.id)) {
        throw new ExchangeError('connection-lost', 'unknown', 'the connection was lost');
      }
    }
    if (!endpoint.hasSucceeded(attempt)) {
      throw new ExchangeError('connection-lost', 'unknown', 'the endpoint stopped the attempt');
    }
  }

  async startTask(
    url: string,
    order: StartOrder,
    opts: { timeoutMs: number; beforeSend?: () => void },
  ): Promise<StartResult> {
    const { hooks, instance } = this.opts;
    const endpoint = await this.connect(url);
    const peer = endpoint.announcement.id;
    hooks.reportStep('dispatch', { instance, peer });
    this.assertOpen();
    this.runBeforeSend(opts.beforeSend);
    await wait(LATENCY_MS);
    if (this.opts.isUnreachable(peer)) {
      await wait(opts.timeoutMs);
      throw new ExchangeError('connection-lost', 'unknown', 'no response');
    }
    hooks.reportStep('start', { instance, peer });
    const { marker, runMs } = order.payload as { marker: string; runMs?: number };
    endpoint.startAttempt({ ...order, kind: 'task' }, `${marker}/${order.taskIndex}`, runMs);
    await wait(LATENCY_MS);
    if (this.isClosed || this.opts.isUnreachable(peer)) {
      throw new ExchangeError('connection-lost', 'unknown', 'the response was lost');
    }
    return 'started';
  }

  async sendAction(
    url: string,
    attempt: string,
    action: AttemptAction,
    opts: { timeoutMs: number; beforeSend?: () => void },
  ): Promise<void> {
    const endpoint = await this.connect(url);
    this.assertOpen();
    this.runBeforeSend(opts.beforeSend);
    await wait(LATENCY_MS);
    if (this.opts.isUnreachable(endpoint.announcement.id)) {
      await wait(opts.timeoutMs);
      throw new ExchangeError('connection-lost', 'unknown', 'no response');
    }
    if (action !== 'throttle') {
      endpoint.endAttempt(attempt, action === 'checkpoint' ? 'checkpointed' : 'stopped');
    }
  }

  async probeAttempt(url: string, attempt: string): Promise<AttemptPresence> {
    const endpoint = await this.connect(url);
    await wait(LATENCY_MS);
    if (endpoint.isRunning(attempt)) return 'running';
    return endpoint.hasFinished(attempt) ? 'finished' : 'absent';
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.isClosed = true;
  }

  private async connect(url: string): Promise<FakeEndpoint> {
    await wait(LATENCY_MS);
    const endpoint = this.opts.endpoints.get(url);
    const isUnreachable = endpoint && this.opts.isUnreachable(endpoint.announcement.id);
    if (endpoint && !isUnreachable && !endpoint.isClosed) return endpoint;
    if (isUnreachable) await wait(CONNECT_TIMEOUT_MS);
    throw new ExchangeError('refused-connection', 'not-run', `could not connect to ${url}`);
  }

  private assertOpen(): void {
    if (this.isClosed) throw new ExchangeError('closed', 'not-run', 'the process was killed');
  }

  private runBeforeSend(beforeSend: (() => void) | undefined): void {
    try {
      beforeSend?.();
    } catch (err) {
      throw new ExchangeError(
        'prevented',
        'not-run',
        'the beforeSend check rejected the send',
        err as Error,
      );
    }
  }
}
