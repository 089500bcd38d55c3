import type {
  AnnounceResponse,
  AttemptAction,
  HeartbeatResponse,
} from '@lagoongap/model/endpoint.js';

const ACTIONS: readonly unknown[] = ['checkpoint', 'throttle', 'stop'];

type Fields = Record<string, unknown>;

function isDuration(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value > 0;
}

/** Tells whether `value` is an action that an endpoint can be given. */
export function isAction(value: unknown): value is AttemptAction {
  return ACTIONS.includes(value);
}

/** Returns a gateway's answer to an announcement, or undefined if it is not one. */
export function parseAnnounceAnswer(value: unknown): AnnounceResponse | undefined {
  const { session, leaseMs, heartbeatMs } = (value ?? {}) as Fields;
  if (typeof session !== 'string' || !isDuration(leaseMs) || !isDuration(heartbeatMs)) {
    return undefined;
  }
  return { session, leaseMs, heartbeatMs };
}

/** Returns a gateway's answer to a heartbeat, or undefined if any part of it is not valid. */
export function parseHeartbeatAnswer(value: unknown): HeartbeatResponse | undefined {
  const { leaseMs, acknowledged, actions } = (value ?? {}) as Fields;
  if (!isDuration(leaseMs) || !Array.isArray(acknowledged) || !Array.isArray(actions)) {
    return undefined;
  }
  const hasFault =
    acknowledged.some((attempt) => typeof attempt !== 'string') ||
    actions.some((item) => typeof item?.attempt !== 'string' || !isAction(item.action));
  return hasFault ? undefined : { leaseMs, acknowledged, actions };
}
