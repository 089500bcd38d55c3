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

/** Returns whether `value` is a valid attempt action. */
export function isAction(value: unknown): value is AttemptAction {
  return ACTIONS.includes(value);
}

/** Parses the response to an announcement; returns undefined if it is invalid. */
export function parseAnnounceResponse(value: unknown): AnnounceResponse | undefined {
  const { session, leaseMs, heartbeatMs } = (value ?? {}) as Fields;
  if (typeof session !== 'string' || !isDuration(leaseMs) || !isDuration(heartbeatMs)) {
    return undefined;
  }
  return { session, leaseMs, heartbeatMs };
}

/** Parses the response to a heartbeat; returns undefined if any part of it is invalid. */
export function parseHeartbeatResponse(value: unknown): HeartbeatResponse | undefined {
  const { leaseMs, acknowledged, actions } = (value ?? {}) as Fields;
  if (!isDuration(leaseMs) || !Array.isArray(acknowledged) || !Array.isArray(actions)) {
    return undefined;
  }
  const isInvalid =
    acknowledged.some((attempt) => typeof attempt !== 'string') ||
    actions.some((item) => typeof item?.attempt !== 'string' || !isAction(item.action));
  return isInvalid ? undefined : { leaseMs, acknowledged, actions };
}
