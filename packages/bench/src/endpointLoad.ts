/**
 * Simulates many workers in one process: announces them, sends their heartbeats over HTTP and
 * accepts every start order. Tasks run until the process exits. Prints one JSON line per second
 * with the bytes exchanged with gateways and the number of running tasks.
 *
 *   node packages/bench/lib/endpointLoad.js --count 40 --gateway <url> --gateway <url>
 */
import { Agent, createServer, request, type IncomingMessage } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { parseArgs } from 'node:util';

import type {
  AnnounceResponse,
  HeartbeatResponse,
  RunningReport,
  StartOrder,
} from '@lagoongap/model/endpoint.js';

import { WORK_KIND } from './benchCell.js';

const PRINT_INTERVAL_MS = 1000;
const RETRY_DELAY_MS = 500;
/** Maximum random start delay of a worker; without it all heartbeats would be synchronized. */
const START_SPREAD_MS = 1500;
const WORKER_SIZE = { cpuMillis: 1_000_000, memoryMib: 4_000_000, accelerators: 0, slots: 0 };

const { values } = parseArgs({
  options: {
    count: { type: 'string', default: '10' },
    gateway: { type: 'string', multiple: true, default: [] },
  },
});
const key = process.env.LAGOONGAP_ENDPOINT_KEY ?? '';
const sockets = new Set<Socket>();
let closedBytes = { sent: 0, received: 0 };
let heartbeats = 0;
let failures = 0;
let running = 0;

// The client of node:http is used because it exposes its sockets, whose bytes are counted.
const agent = new Agent({ keepAlive: true });

function trackSocket(socket: Socket): void {
  if (sockets.has(socket)) return;
  sockets.add(socket);
  socket.once('close', () => {
    sockets.delete(socket);
    closedBytes = {
      sent: closedBytes.sent + socket.bytesWritten,
      received: closedBytes.received + socket.bytesRead,
    };
  });
}

async function readText(stream: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of stream) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString();
}

function post<Body>(url: string, body: unknown): Promise<Body> {
  const text = JSON.stringify(body);
  return new Promise((resolve, reject) => {
    const req = request(url, {
      method: 'POST',
      agent,
      headers: {
        authorization: `Bearer ${key}`,
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
      },
    });
    req.on('socket', trackSocket);
    req.on('error', reject);
    req.on('response', (res) => {
      readText(res).then((responseText) => {
        if (res.statusCode === 200) resolve(JSON.parse(responseText) as Body);
        else reject(new Error(`${url} responded with status ${res.statusCode}: ${responseText}`));
      }, reject);
    });
    req.end(text);
  });
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Starts a server for start orders and returns its URL. */
async function listenForOrders(reports: Map<string, RunningReport>): Promise<string> {
  const server = createServer((req, res) => {
    readText(req).then(
      (text) => {
        if (req.url === '/tasks') {
          const { attempt, token, size } = JSON.parse(text) as StartOrder;
          if (!reports.has(attempt)) running += 1;
          reports.set(attempt, { attempt, token, usage: size });
        }
        res.writeHead(201, { 'content-type': 'application/json' });
        res.end('{}');
      },
      () => res.destroy(),
    );
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function runWorker(index: number): Promise<void> {
  const reports = new Map<string, RunningReport>();
  const id = `worker-${index + 1}`;
  const base = values.gateway[index % values.gateway.length]!;
  const announcement = {
    id,
    kind: 'worker',
    url: await listenForOrders(reports),
    size: WORKER_SIZE,
    rack: `rack-${Math.floor(index / 8) + 1}`,
    dataCentre: `dc-${(index % 3) + 1}`,
    works: [WORK_KIND],
    speed: 1,
    capabilities: ['checkpoint', 'throttle', 'stop'],
  };
  let session: AnnounceResponse | undefined;
  await sleep(Math.random() * START_SPREAD_MS);
  for (;;) {
    try {
      session ??= await post<AnnounceResponse>(`${base}/v1/endpoints`, announcement);
      await sleep(session.heartbeatMs);
      const body = { session: session.session, running: [...reports.values()], finished: [] };
      await post<HeartbeatResponse>(`${base}/v1/endpoints/${id}/heartbeat`, body);
      heartbeats += 1;
    } catch (err) {
      failures += 1;
      process.stderr.write(`${(err as Error).message}\n`);
      session = undefined;
      await sleep(RETRY_DELAY_MS);
    }
  }
}

for (let i = 0; i < Number(values.count); i += 1) {
  runWorker(i).catch((err: Error) => process.stderr.write(`${err.message}\n`));
}
setInterval(() => {
  let { sent, received } = closedBytes;
  for (const socket of sockets) {
    sent += socket.bytesWritten;
    received += socket.bytesRead;
  }
  const atMs = performance.timeOrigin + performance.now();
  const line = { type: 'traffic', atMs, sent, received, heartbeats, failures, running };
  process.stdout.write(`${JSON.stringify(line)}\n`);
}, PRINT_INTERVAL_MS);
