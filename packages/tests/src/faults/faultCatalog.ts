import type { Step, StepContext } from '../harness/stepHooks.js';
import type { TestCell } from '../harness/testCell.js';
import { createSmallNote } from './smallNote.js';

/** Columns of the fault matrix: the faults that can be injected. */
export const FAULTS = [
  'process killed',
  'disk lost',
  'paused',
  'cut both ways',
  'cut one way',
  'silent connection',
  'duplicate',
  'late',
  'reordered',
  'operators racing',
  'second loss after a repair',
  'endpoint killed',
  'endpoint cut off',
] as const;

/** Name of an injectable fault. */
export type Fault = (typeof FAULTS)[number];

const RESTART_DELAY_MS = 3000;
const PAUSE_MS = 5000;
const FAULT_DURATION_MS = 8000;
const REPAIR_POLL_MS = 100;

function schedule(delayMs: number, action: () => void): void {
  setTimeout(action, delayMs);
}

async function crashInstance(cell: TestCell, id: string, losesDisk: boolean): Promise<void> {
  const instance = cell.instances.get(id)!;
  if (instance.isStopped) return;
  await instance.kill();
  if (losesDisk) cell.eraseDisk(id);
  schedule(RESTART_DELAY_MS, () => {
    cell.startInstance(id, true).catch(() => {});
  });
}

function runInBackground(action: Promise<void>): void {
  action.catch(() => {});
}

function isolate(cell: TestCell, id: string, direction: 'both' | 'outgoing'): void {
  cell.isolate(id, direction);
  schedule(FAULT_DURATION_MS, () => cell.heal());
}

function cutConnection(cell: TestCell, { instance, peer }: StepContext): void {
  schedule(FAULT_DURATION_MS, () => cell.heal());
  if (peer !== undefined && cell.endpoints.has(`http://${peer}`)) {
    cell.cutEndpointLink(instance, peer);
    return;
  }
  const other =
    peer !== undefined && cell.instances.has(peer) && peer !== instance
      ? peer
      : cell.instanceIds.find((id) => id !== instance)!;
  cell.transport.cutLink(instance, other);
  cell.transport.cutLink(other, instance);
}

function disturbMessages(cell: TestCell, disturbance: 'duplicate' | 'late' | 'reordered'): void {
  cell.transport.disturbance = disturbance;
  schedule(FAULT_DURATION_MS, () => cell.heal());
}

/** Returns the endpoint that takes part in the step, or else one that is likely to run work. */
function findEndpoint(cell: TestCell, { peer }: StepContext): string {
  return peer !== undefined && cell.endpoints.has(`http://${peer}`) ? peer : 'runner-1';
}

/** Erases a second disk as soon as the replica that lost the first one is a voter again. */
function loseSecondDisk(cell: TestCell, repaired: string): void {
  const { replica, isStopped } = cell.instances.get(repaired)!;
  const voters = cell.findLeader()?.replica?.members().voters ?? [];
  if (isStopped || !replica?.replicaId || !voters.includes(replica.replicaId)) {
    schedule(REPAIR_POLL_MS, () => loseSecondDisk(cell, repaired));
    return;
  }
  const next = cell.replicaIds.find((id) => id !== repaired && !cell.instances.get(id)!.isStopped);
  if (next !== undefined) runInBackground(crashInstance(cell, next, true));
}

/** Publishes two different notes under one number concurrently, one of them twice. */
function publishRacingNotes(cell: TestCell): void {
  const [first, second] = cell.listLive();
  if (!first || !second) return;
  const number = 50;
  for (const [id, name] of [
    [first.id, 'east'],
    [second.id, 'west'],
    [second.id, 'east'],
  ] as const) {
    cell.applyNote(id, createSmallNote(number, name)).then(
      () => cell.acceptedNotes.push({ number, team: name }),
      () => {},
    );
  }
}

/** Steps during which one of the three disks is already lost. */
const REPAIR_STEPS: ReadonlySet<Step> = new Set([
  'join',
  'catch up',
  'promote',
  'install a snapshot',
]);

/** Returns why a fault is not applicable at a step, or undefined if it is. */
export function getInapplicableReason(fault: Fault, step: Step): string | undefined {
  const losesDisk = fault === 'disk lost' || fault === 'second loss after a repair';
  if (!losesDisk || !REPAIR_STEPS.has(step)) return undefined;
  return 'a second of three disks lost before the first is repaired leaves no majority of logs';
}

/** Injects a fault into the instance that performs the step, or into a participant of the step. */
export function injectFault(fault: Fault, cell: TestCell, context: StepContext): void {
  const { instance } = context;
  switch (fault) {
    case 'process killed':
      runInBackground(crashInstance(cell, instance, false));
      break;
    case 'disk lost':
      runInBackground(crashInstance(cell, instance, true));
      break;
    case 'paused':
      cell.transport.pause(instance);
      schedule(PAUSE_MS, () => cell.transport.resume(instance));
      break;
    case 'cut both ways':
      isolate(cell, instance, 'both');
      break;
    case 'cut one way':
      isolate(cell, instance, 'outgoing');
      break;
    case 'silent connection':
      cutConnection(cell, context);
      break;
    case 'endpoint killed': {
      const id = findEndpoint(cell, context);
      cell.killEndpoint(id);
      schedule(RESTART_DELAY_MS, () => cell.startEndpoint(id));
      break;
    }
    case 'endpoint cut off':
      cell.endpoints.get(`http://${findEndpoint(cell, context)}`)!.isPartitioned = true;
      schedule(FAULT_DURATION_MS, () => cell.heal());
      break;
    case 'operators racing':
      publishRacingNotes(cell);
      break;
    case 'second loss after a repair': {
      const victim = cell.replicaIds.includes(instance) ? instance : cell.replicaIds[0]!;
      runInBackground(crashInstance(cell, victim, true));
      schedule(RESTART_DELAY_MS, () => loseSecondDisk(cell, victim));
      break;
    }
    default:
      disturbMessages(cell, fault);
  }
}
