import assert from 'node:assert/strict';

import { createDemoKeys, createDemoNote } from '@lagoongap/stand-in/demo/demoNote.js';
import {
  LocalCell,
  type CallResponse,
  type LocalCellOptions,
} from '@lagoongap/stand-in/localCell.js';
import type { HistoryEvent } from '@lagoongap/stand-in/standInOptions.js';

import type { History } from '../../history/history.js';
import type { CellWorld } from './cellWorld.js';

/** Cucumber timeout of steps that wait for a condition. */
export const TIMEOUT = { timeout: 90_000 };

/** Limits the wait for one response where an instance may hang. */
const RESPONSE_TIMEOUT_MS = 2000;

/** Starts a cell and applies the demo configuration. */
export async function startDemoCell(world: CellWorld, opts: LocalCellOptions): Promise<void> {
  const cell = new LocalCell(opts);
  Object.assign(world, {
    cell,
    calls: [],
    unavailable: [],
    jobs: [],
    notes: [],
    ended: 0,
    killedAtMsByEndpoint: new Map(),
  });
  await cell.start();
  world.keys = createDemoKeys(cell.operatorKey);
  const response = await cell.applyNote('instance-1', createDemoNote(world.keys));
  assert.equal(response.status, 200, JSON.stringify(response.body));
}

/** Returns the instances that are not killed, suspended or partitioned. */
export function listAvailable({ cell, unavailable }: CellWorld): string[] {
  return cell!.instanceIds.filter((id) => !unavailable.includes(id));
}

/** Settles as the promise does; rejects if it has not settled within `timeoutMs`. */
export async function settleWithin<T>(
  promise: Promise<T>,
  timeoutMs = RESPONSE_TIMEOUT_MS,
): Promise<T> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<never>((_, reject) => {
    timer = setTimeout(() => reject(new Error(`no response within ${timeoutMs} ms`)), timeoutMs);
  });
  try {
    return await Promise.race([promise, timeout]);
  } finally {
    clearTimeout(timer);
  }
}

/** Reads with the operator's key from the first available instance that responds. */
export async function fetchAsOperator(world: CellWorld, path: string): Promise<any> {
  let body: any;
  await world.cell!.waitFor(`a response to GET ${path}`, async () => {
    for (const id of listAvailable(world)) {
      const call = world.cell!.call(id, path, { key: world.keys.operator.secret });
      const response = await settleWithin(call, 5000).catch(() => undefined);
      if (response?.status !== 200) continue;
      body = response.body;
      return true;
    }
    return false;
  });
  return body;
}

/** Returns the leader that an available instance reports. */
export async function fetchLeader(world: CellWorld): Promise<string> {
  return (await fetchAsOperator(world, '/v1/status')).leader;
}

/** Submits one job for the team `utilities`; fails unless it is accepted. */
export async function submitJob(
  world: CellWorld,
  spec: object,
  instance?: string,
): Promise<string> {
  const response = await world.cell!.call(instance ?? listAvailable(world)[0]!, '/v1/jobs', {
    method: 'POST',
    key: world.keys.utilities.secret,
    body: {
      kind: 'batch',
      queue: 'recomputation',
      work: 'metering',
      size: { cpuMillis: 1000, memoryMib: 256 },
      ...spec,
    },
  });
  assert.equal(response.status, 202, JSON.stringify(response.body));
  return response.body.id;
}

/** Looks up a job with the key of the team `utilities`. */
export async function fetchJob(world: CellWorld, id: string, waitMs = 0): Promise<CallResponse> {
  return world.cell!.call(listAvailable(world)[0]!, `/v1/jobs/${id}?waitMs=${waitMs}`, {
    key: world.keys.utilities.secret,
  });
}

/**
 * Returns the recorded history. Attempts that were running on a killed endpoint process, which
 * could not record their end itself, end at the time of the kill.
 */
export function collectHistory(world: CellWorld): History {
  const events = world.cell!.readHistory() as unknown as HistoryEvent[];
  const ended = new Set(events.filter(({ type }) => type === 'end').map(({ attempt }) => attempt));
  const interrupted = events.flatMap((event): HistoryEvent[] => {
    const killedAtMs = world.killedAtMsByEndpoint.get(event.endpoint);
    if (killedAtMs === undefined || ended.has(event.attempt)) return [];
    return [{ ...event, type: 'end', outcome: 'killed', monotonicMs: killedAtMs }];
  });
  return { calls: world.calls, events: [...events, ...interrupted] };
}

/** Returns the monotonic time in milliseconds, which all processes of the machine share. */
export function readMonotonicMs(): number {
  return Number(process.hrtime.bigint()) / 1e6;
}
