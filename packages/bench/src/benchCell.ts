import {
  createDemoKeys,
  createDemoNote,
  type DemoKeys,
} from '@lagoongap/stand-in/demo/demoNote.js';
import { LocalCell, type LocalCellOptions } from '@lagoongap/stand-in/localCell.js';

/** Daemons of the cell that is measured, and those of them with a disk. */
export const CELL_INSTANCES = 9;
export const CELL_REPLICAS = 3;

/** Work that the demo note lets every endpoint take. */
export const WORK = 'metering';

/** A started cell and the keys that its first note grants. */
export interface BenchCell {
  cell: LocalCell;
  keys: DemoKeys;
}

/** Starts nine daemons, three with a disk, with teams that no upper limit holds back. */
export async function startBenchCell(
  opts: Pick<LocalCellOptions, 'scheduling'> = {},
): Promise<BenchCell> {
  const cell = new LocalCell({ instances: CELL_INSTANCES, replicas: CELL_REPLICAS, ...opts });
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

/** Ids of the instances without a disk. */
export function listPureGateways(cell: LocalCell): string[] {
  return cell.instanceIds.slice(CELL_REPLICAS);
}

/** Starts stand-in runners as processes. */
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
        works: [WORK],
        slots,
        rack: `rack-${(i % 5) + 1}`,
        dataCentre: `dc-${(i % 3) + 1}`,
      }),
    ),
  );
}

/** Sends one request; true if it was answered in full. */
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
        'lagoongap-work': WORK,
        'lagoongap-deadline-ms': '10000',
      },
    });
    return status === 200;
  } catch {
    return false;
  }
}

/** Resolves after `ms` milliseconds. */
export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
