import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

import { delay } from '@lagoongap/model/delay.js';
import type { EndReport, StartOutcome } from '@lagoongap/workflow/endpointDriver.js';

import { FakeWorker } from '../workflow/fakeWorker.js';
import { createHeartbeat } from './documents.js';

const TASK_DURATION_MS = 50;
const HEARTBEAT_INTERVAL_MS = 300;
const CPU_MILLIS = 16_000;
const OK = 200;
const CONFLICT = 409;
const MISDIRECTED = 421;

/** Header with the id of the endpoint that a call is meant for. */
const EXPECTED_INSTANCE_HEADER = 'x-lagoongap-expected-instance';

const TICKET_VALIDITY_MS = 2500;

const REASONS: Partial<Record<StartOutcome, string>> = {
  fenced: 'fence',
  superseded: 'old',
  late: 'late',
};

async function readJson(req: IncomingMessage): Promise<any> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return JSON.parse(Buffer.concat(chunks).toString('utf8'));
}

/** Simulated endpoint of the platform that runs the tasks it is given; also acts as advisor. */
export class EndpointStandIn implements AsyncDisposable {
  /** Start orders that were accepted. */
  readonly starts: { task: string; run: number; ticket?: string }[] = [];
  readonly worker = new FakeWorker();
  /** Address to report in heartbeats instead of the server's own, for example a proxy's. */
  reportedAddress: string | undefined;
  /** Address of the leader from the last heartbeat response. */
  leaderAddress: string | undefined;
  readonly id: string;
  /** Capacity to report in heartbeats, in thousandths of a core. */
  cpuMillis = CPU_MILLIS;
  /** Called when a heartbeat with this capacity is sent. */
  onCapacityReport: (cpuMillis: number) => void = () => {};
  /** Called when a heartbeat with this capacity has been acknowledged. */
  onCapacityAcknowledged: (cpuMillis: number) => void = () => {};
  /** Number of crashes from which the endpoint has not come back yet. */
  private downCount = 0;
  private readonly listControlAddresses: () => string[];
  private readonly server: Server;
  private sequence = 0;
  private heartbeatCount = 0;
  private ackedHeartbeat = 0;
  private timer: NodeJS.Timeout | undefined;

  /** @param listControlAddresses - Returns the addresses for heartbeats in the order of use. */
  constructor(id: string, listControlAddresses: () => string[]) {
    this.id = id;
    this.listControlAddresses = listControlAddresses;
    this.worker.bornMs = Date.now();
    this.worker.durationMs = TASK_DURATION_MS;
    this.server = createServer((req, res) => {
      readJson(req)
        .then((body) => this.handleRequest(req, body, res))
        .catch(() => res.destroy());
    });
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Ends the current incarnation; the next one starts after `downMs`. */
  async crash(downMs: number): Promise<void> {
    this.downCount += 1;
    this.worker.restart();
    this.sequence = 0;
    this.server.closeAllConnections();
    await delay(downMs);
    this.downCount -= 1;
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.timer = setInterval(() => {
      this.sendHeartbeat().catch(() => undefined);
    }, HEARTBEAT_INTERVAL_MS);
    await this.sendHeartbeat();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    await new Promise((resolve) => {
      this.server.close(resolve);
    });
  }

  /** Returns the document of the current heartbeat. */
  createHeartbeat(): Record<string, any> {
    const document = createHeartbeat(this.reportedAddress ?? this.address);
    return {
      ...document,
      capacity: { ...document.capacity, cpu: this.cpuMillis },
      born: this.worker.bornMs,
      seq: this.sequence,
      clock_ms: this.worker.clockMs(),
    };
  }

  private async sendHeartbeat(): Promise<void> {
    if (this.worker.behaviour === 'silent' || this.downCount > 0) return;
    this.sequence += 1;
    this.heartbeatCount += 1;
    const { cpuMillis, heartbeatCount } = this;
    const body = this.createHeartbeat();
    this.onCapacityReport(cpuMillis);
    for (const control of this.listControlAddresses()) {
      const url = `http://${control}/-/instances/${this.id}`;
      const signal = AbortSignal.timeout(1000);
      const res = await fetch(url, { method: 'PUT', body: JSON.stringify(body), signal }).catch(
        () => null,
      );
      const result = (await res?.json().catch(() => null)) as { heartbeat_addr?: string } | null;
      if (!res?.ok) continue;
      this.leaderAddress = result?.heartbeat_addr;
      if (heartbeatCount < this.ackedHeartbeat) return;
      this.ackedHeartbeat = heartbeatCount;
      this.onCapacityAcknowledged(cpuMillis);
      return;
    }
  }

  private async handleRequest(req: IncomingMessage, body: any, res: ServerResponse): Promise<void> {
    const path = req.url ?? '';
    const { behaviour } = this.worker;
    if (behaviour === 'silent') return;
    if (this.downCount > 0) {
      res.destroy();
      return;
    }
    const isStart = path === '/-/run-start';
    const expectedId = req.headers[EXPECTED_INSTANCE_HEADER] ?? this.id;
    const [status, responseBody] =
      expectedId === this.id ? await this.handleCall(path, body) : [MISDIRECTED, {}];
    if (isStart && (behaviour === 'start-answers-lost' || behaviour === 'starts-late')) {
      res.destroy();
      return;
    }
    res.writeHead(status, { 'content-type': 'application/json' });
    res.end(JSON.stringify({ clock_ms: this.worker.clockMs(), ...responseBody }));
  }

  private async handleCall(path: string, body: any): Promise<[number, Record<string, unknown>]> {
    const { worker } = this;
    const order = { task: body.task, run: body.run, fencingToken: body.fencing_token };
    switch (path) {
      case '/-/advise': {
        const good = body.workers.map((id: string) => [id, `ticket-${body.step}`]);
        return [OK, { good, valid_ms: TICKET_VALIDITY_MS }];
      }
      case '/-/run-start': {
        const { task_spec: payload, until_ms: untilMs, ticket } = body;
        const start = { ...order, payload, untilMs, ticket };
        if (worker.behaviour === 'starts-late') {
          worker.startLate(start);
          return [OK, {}];
        }
        const outcome = worker.start(start);
        if (outcome !== 'started') return [CONFLICT, { reason: REASONS[outcome] ?? outcome }];
        this.starts.push({ task: order.task, run: order.run, ticket });
        return [OK, {}];
      }
      case '/-/run-stop':
        return worker.stop(order) ? [OK, {}] : [CONFLICT, { reason: 'fence' }];
      case '/-/hold':
        return this.inspectRuns(body);
      default:
        return [OK, {}];
    }
  }

  private async inspectRuns(body: any): Promise<[number, Record<string, unknown>]> {
    const inspection = await this.worker.inspect({
      fencingToken: body.fencing_token,
      ackedReport: body.ack_seq,
      untilMs: body.until_ms,
      waitMs: body.wait_ms ?? 0,
    });
    if (!inspection) return [CONFLICT, { reason: 'fence' }];
    const toRow = ({ number, task, run, outcome, checkpoint }: EndReport): unknown[] => [
      number,
      task,
      run,
      outcome,
      checkpoint,
    ];
    const active = inspection.active.map(({ task, run }) => [task, run, '', 100, 0]);
    const finished = inspection.ended.map(toRow);
    return [OK, { born: inspection.bornMs, active_runs: active, finished }];
  }
}
