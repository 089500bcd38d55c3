import type { CallRecord } from './callRecord.js';
import type { LocalCell } from './localCell.js';

/** Options of {@link sendRequests}. */
export interface LoadOptions {
  cell: LocalCell;
  /** Instances that receive the requests, round robin. */
  instances: string[];
  /** Secrets of the teams' keys, used round robin. */
  keys: string[];
  count: number;
  /** Number of concurrent requests. */
  concurrency: number;
  /** Marks every n-th request as not to be repeated; 0 marks none. */
  noRepeatEvery: number;
  /** Instructions for the endpoint, in addition to the marker. */
  instruction?: object;
  markerPrefix: string;
  deadlineMs?: number;
  /** Returns true to end the load before `count` requests have been sent. */
  shouldStop?: () => boolean;
  /** Selects the instance for a request, as a load balancer does; round robin by default. */
  pickInstance?: (number: number) => Promise<string>;
  /** Called after each request with the number of requests that have ended. */
  onEnded?: (ended: number) => void;
}

async function sendOne(opts: LoadOptions, number: number): Promise<CallRecord> {
  const instance =
    (await opts.pickInstance?.(number)) ?? opts.instances[number % opts.instances.length]!;
  const marker = `${opts.markerPrefix}-${number}`;
  const noRepeat = opts.noRepeatEvery > 0 && number % opts.noRepeatEvery === 0;
  const sent = JSON.stringify({ marker, ...opts.instruction });
  const startedAtMs = performance.now();
  const base = { marker, instance, noRepeat, sent, startedAtMs };
  try {
    const { status, body } = await opts.cell.call(instance, '/v1/requests', {
      method: 'POST',
      key: opts.keys[number % opts.keys.length],
      body: sent,
      headers: {
        'lagoongap-queue': 'certificates',
        'lagoongap-work': 'metering',
        'lagoongap-no-repeat': String(noRepeat),
        'lagoongap-deadline-ms': String(opts.deadlineMs ?? 30_000),
      },
    });
    const endedAtMs = performance.now();
    if (status === 200)
      return { ...base, outcome: 'answered', status, body: String(body), endedAtMs };
    return { ...base, outcome: 'refused', status, refusal: body.error, endedAtMs };
  } catch {
    return { ...base, outcome: 'connection-lost', endedAtMs: performance.now() };
  }
}

/** Sends requests with a fixed concurrency and records the outcome that each caller observed. */
export async function sendRequests(opts: LoadOptions): Promise<CallRecord[]> {
  const records: CallRecord[] = [];
  let next = 0;
  const runCaller = async (): Promise<void> => {
    while (next < opts.count && !opts.shouldStop?.()) {
      const number = next;
      next += 1;
      records.push(await sendOne(opts, number));
      opts.onEnded?.(records.length);
    }
  };
  await Promise.all(Array.from({ length: opts.concurrency }, runCaller));
  return records;
}
