import { LocalCell, type CallResponse } from '../localCell.js';
import { createDemoKeys, createDemoNote } from './demoNote.js';

const INSTANCE = 'instance-1';
const JOB_TIMEOUT_MS = 20_000;

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function assertStatus(operation: string, res: CallResponse, expected: number): void {
  if (res.status === expected) return;
  throw new Error(
    `${operation}: expected ${expected}, got ${res.status} ${JSON.stringify(res.body)}`,
  );
}

await using cell = new LocalCell({ instances: 1, replicas: 1, timing: { drainDelayMs: 0 } });
await cell.start();
print('started one daemon with a local data folder');

const keys = createDemoKeys(cell.operatorKey);
const note = await cell.applyNote(INSTANCE, createDemoNote(keys));
assertStatus('release note', note, 200);
print(`release note ${note.body.number} is in force (${note.body.contentHash.slice(0, 12)})`);

await cell.startEndpoint({ id: 'runner-1', key: keys.endpoint.secret, works: ['metering'] });
await cell.startEndpoint({
  id: 'worker-1',
  key: keys.endpoint.secret,
  kind: 'worker',
  works: ['metering'],
});
print('started two stand-in endpoints: runner-1 and worker-1');

const res = await cell.call(INSTANCE, '/v1/requests', {
  method: 'POST',
  key: keys.laboratories.secret,
  headers: { 'lagoongap-queue': 'certificates', 'lagoongap-work': 'metering' },
  body: 'meter 4711',
});
assertStatus('request', res, 200);
print(`request: ${res.headers['lagoongap-endpoint']} returned ${JSON.stringify(res.body)}`);

async function submit(
  kind: string,
  queue: string,
  tasks: number,
  payload: object,
): Promise<string> {
  const submitted = await cell.call(INSTANCE, '/v1/jobs', {
    method: 'POST',
    key: keys.utilities.secret,
    body: {
      kind,
      queue,
      work: 'metering',
      tasks,
      size: { cpuMillis: 500, memoryMib: 256 },
      payload,
    },
  });
  assertStatus(`${kind} job`, submitted, 202);
  return submitted.body.id;
}

async function fetchJob(id: string, waitMs: number): Promise<any> {
  const path = `/v1/jobs/${id}?waitMs=${waitMs}`;
  const view = await cell.call(INSTANCE, path, { key: keys.utilities.secret });
  assertStatus('job query', view, 200);
  return view.body;
}

for (const [kind, queue, tasks] of [
  ['batch', 'recomputation', 1],
  ['gang', 'bench-runs', 3],
] as const) {
  const id = await submit(kind, queue, tasks, { runMs: 300 });
  const view = await fetchJob(id, JOB_TIMEOUT_MS);
  if (view.state !== 'succeeded') throw new Error(`${kind} job ended as ${JSON.stringify(view)}`);
  print(`${kind} job ${id}: ${tasks} task(s), ${view.state}`);
}

const service = await submit('service', 'indexing', 1, {});
await cell.waitFor('the service to run', async () => {
  const view = await fetchJob(service, 0);
  return view.tasks[0].endpoint !== undefined;
});
const { tasks } = await fetchJob(service, 0);
print(`service ${service}: running on ${tasks[0].endpoint}`);
const cancelled = await cell.call(INSTANCE, `/v1/jobs/${service}`, {
  method: 'DELETE',
  key: keys.utilities.secret,
});
assertStatus('cancellation', cancelled, 200);
const ended = await fetchJob(service, JOB_TIMEOUT_MS);
print(`service ${service}: ${ended.state}`);
if (ended.state !== 'cancelled') throw new Error('the service was not cancelled');

const starts = cell.readHistory().filter(({ type }) => type === 'start');
for (const { task, endpoint } of starts) print(`  ${String(task)} ran on ${String(endpoint)}`);
print('demo finished');
