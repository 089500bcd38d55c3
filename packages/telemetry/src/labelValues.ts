/** Replaces label values outside the fixed set, so that the number of series is bounded. */
export const OTHER_LABEL_VALUE = 'other';

/** Allowed values of each label that does not depend on the configuration. */
export const LABEL_VALUES = {
  kind: ['service', 'batch', 'gang', 'request'],
  action: ['checkpoint', 'throttle', 'stop'],
  type: [
    'invalid-input',
    'unauthenticated',
    'forbidden',
    'not-found',
    'duplicate',
    'conflict',
    'body-too-large',
    'queue-full',
    'over-limit',
    'overloaded',
    'impossible',
    'deadline-exceeded',
    'cancelled',
    'gateway-not-valid',
    'no-leader',
    'shutting-down',
    'endpoint-failed',
    'answer-lost',
    'internal',
  ],
  resource: ['cpuMillis', 'memoryMib', 'accelerators', 'slots', 'tasks'],
  state: ['ready', 'leaving', 'silent'],
  result: ['attempted', 'over-budget'],
  direction: ['sent', 'received'],
  method: [
    'raft.message',
    'raft.snapshot',
    'gateway.poll',
    'placements.acquire',
    'placements.release',
    'jobs.submit',
    'jobs.cancel',
    'jobs.lookup',
    'requests.lookup',
    'endpoints.announce',
    'endpoints.heartbeat',
    'endpoints.leave',
    'notes.apply',
    'status.read',
    'audit.read',
    'instances.drain',
    'replicas.replace',
    'ping',
    'answer',
  ],
  limit: [
    'request-bytes',
    'request-cost',
    'pipelined-requests',
    'unread-responses',
    'connections',
    'idle',
    'header-time',
    'headers',
    'stalled',
    'no-host',
  ],
  activity: ['decide', 'commit', 'apply', 'poll', 'heartbeat', 'peering'],
} as const;

/** Label with a fixed set of values. */
export type FixedLabel = keyof typeof LABEL_VALUES;

/** Returns the value if the label allows it, otherwise `other`. */
export function normalizeLabelValue(label: FixedLabel, value: string): string {
  return (LABEL_VALUES[label] as readonly string[]).includes(value) ? value : OTHER_LABEL_VALUE;
}
