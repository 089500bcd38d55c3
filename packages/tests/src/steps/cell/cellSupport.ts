import assert from 'node:assert/strict';

import { createDemoKeys, createDemoNote } from '@lagoongap/stand-in/demo/demoNote.js';
import {
  LocalCell,
  type CallAnswer,
  type LocalCellOptions,
} from '@lagoongap/stand-in/localCell.js';
import type { HistoryEvent } from '@lagoongap/stand-in/standInOptions.js';

import type { History } from '../../history/history.js';
import type { CellWorld } from './cellWorld.js';

/** Bound of steps that wait for a condition. */
export const TIMEOUT = { timeout: 90_000 };

/** Longest wait for one answer where an instance may hang. */
const ANSWER_TIMEOUT_MS = 2000;

/** Starts a cell with the demo's configuration in force. */
export async function openCell(world: CellWorld, opts: LocalCellOptions): Promise<void> {
  const cell = new LocalCell(opts);
  Object.assign(world, {
    cell,
    calls: [],
    killed: [],
    jobs: [],
    notes: [],
    ended: 0,
    killedEndpoints: new Map(),
  });
  await cell.start();
  world.keys = createDemoKeys(cell.operatorKey);
  const answer = await cell.applyNote('instance-1', createDemoNote(world.keys));
  assert.equal(answer.status, 200, JSON.stringify(answer.body));
}

/** Returns the instances that have not been killed, frozen or cut off. */
export function listLiving({ cell, killed }: CellWorld): string[] {
  return cell!.instanceIds.filter((id) => !killed.includes(id));
}

/** Rejects when the promise is not settled in time. */
export async function settleWithin<T>(
  promise: Promise<T>,
  boundMs = ANSWER_TIMEOUT_MS,
): Promise<T> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<never>((_, reject) => {
    timer = setTimeout(() => reject(new Error(`no answer within ${boundMs} ms`)), boundMs);
  });
  try {
    return await Promise.race([promise, timeout]);
  } finally {
    clearTimeout(timer);
  }
}

/** Reads with the operator's key from the first living instance that answers. */
export async function readAsOperator(world: CellWorld, path: string): Promise<any> {
  let body: any;
  await world.cell!.waitFor(`an answer to GET ${path}`, async () => {
    for (const id of listLiving(world)) {
      const call = world.cell!.call(id, path, { key: world.keys.operator.secret });
      const answer = await settleWithin(call, 5000).catch(() => undefined);
      if (answer?.status !== 200) continue;
      body = answer.body;
      return true;
    }
    return false;
  });
  return body;
}

/** Returns the leader as a living instance sees it. */
export async function readLeader(world: CellWorld): Promise<string> {
  return (await readAsOperator(world, '/v1/status')).leader;
}

/** Submits one job of the utilities; fails unless it is accepted. */
export async function submitJob(
  world: CellWorld,
  spec: object,
  instance?: string,
): Promise<string> {
  const answer = await world.cell!.call(instance ?? listLiving(world)[0]!, '/v1/jobs', {
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
  assert.equal(answer.status, 202, JSON.stringify(answer.body));
  return answer.body.id;
}

/** Returns a job as the team of the utilities sees it. */
export async function lookUpJob(world: CellWorld, id: string, waitMs = 0): Promise<CallAnswer> {
  return world.cell!.call(listLiving(world)[0]!, `/v1/jobs/${id}?waitMs=${waitMs}`, {
    key: world.keys.utilities.secret,
  });
}

/** Returns what was recorded; the death of an endpoint's process ends all that ran in it. */
export function collectHistory(world: CellWorld): History {
  const events = world.cell!.readHistory() as unknown as HistoryEvent[];
  const ended = new Set(events.filter(({ type }) => type === 'end').map(({ attempt }) => attempt));
  const cut = events.flatMap((event): HistoryEvent[] => {
    const killedAtMs = world.killedEndpoints.get(event.endpoint);
    if (killedAtMs === undefined || ended.has(event.attempt)) return [];
    return [{ ...event, type: 'end', outcome: 'killed', monotonicMs: killedAtMs }];
  });
  return { calls: world.calls, events: [...events, ...cut] };
}

/** Monotonic clock that is shared by all processes of the machine, in milliseconds. */
export function readMachineClock(): number {
  return Number(process.hrtime.bigint()) / 1e6;
}
