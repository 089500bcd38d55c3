import {
  createDemoKeys,
  createDemoNote,
  type DemoKeys,
} from '@lagoongap/stand-in/demo/demoNote.js';
import { LocalCell, type LocalCellOptions } from '@lagoongap/stand-in/localCell.js';

/** Number of daemons in the measured cell. */
export const CELL_INSTANCE_COUNT = 9;
/** Number of these daemons that are replicas, with a data folder. */
export const CELL_REPLICA_COUNT = 3;

/** Kind of work that the demo note allows on every endpoint. */
export const WORK_KIND = 'metering';

/** Running cell with the keys that its first release note adds. */
export interface BenchCell {
  cell: LocalCell;
  keys: DemoKeys;
}

/** Starts nine daemons, three of them replicas, with team limits too high to take effect. */
export async function startBenchCell(
  opts: Pick<LocalCellOptions, 'scheduling'> = {},
): Promise<BenchCell> {
  const cell = new LocalCell({
    instances: CELL_INSTANCE_COUNT,
    replicas: CELL_REPLICA_COUNT,
    ...opts,
  });
  try {
    await cell.start();
    const keys = createDemoKeys(cell.operatorKey);
    const note = createDemoNote(keys).replaceAll('tasks = 200', 'tasks = 1000000');
    const { status, body } = await cell.applyNote('instance-1', note);
    if (status !== 200) throw new Error(`the first note was refused: ${JSON.stringify(body)}`);
    return { cell, keys };
  } catch (err) {
    await cell[Symbol.asyncDispose]();
    throw err;
  }
}

/** Returns the ids of the instances that are gateways but not replicas. */
export function listGatewayOnlyInstances(cell: LocalCell): string[] {
  return cell.instanceIds.slice(CELL_REPLICA_COUNT);
}

/** Starts stand-in runners as separate processes. */
export async function startRunners(
  { cell, keys }: BenchCell,
  count: number,
  slots: number,
): Promise<void> {
  const ids = Array.from({ length: count }, (_, i) => `runner-${i + 1}`);
  const key = keys.endpoint.secret;
  await Promise.all(
    ids.map((id, i) =>
      cell.startEndpoint({
        id,
        key,
        works: [WORK_KIND],
        slots,
        rack: `rack-${(i % 5) + 1}`,
        dataCentre: `dc-${(i % 3) + 1}`,
      }),
    ),
  );
}

/** Sends one request; returns whether a complete response with status 200 was received. */
export async function sendRequest(
  { cell, keys }: BenchCell,
  instance: string,
  body = 'meter 4711',
): Promise<boolean> {
  try {
    const { status } = await cell.call(instance, '/v1/requests', {
      method: 'POST',
      key: keys.laboratories.secret,
      body,
      headers: {
        'lagoongap-queue': 'certificates',
        'lagoongap-work': WORK_KIND,
        'lagoongap-deadline-ms': '10000',
      },
    });
    return status === 200;
  } catch {
    return false;
  }
}

/** Resolves after `ms` milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
