import type { Refusal } from '@lagoongap/model/refusal.js';
import type { CallFailureReason } from '@lagoongap/telemetry/callFailure.js';

const REASONS_BY_ERROR: Readonly<Record<string, CallFailureReason>> = {
  PeerUnavailableError: 'unreachable',
  PeerConnectionLostError: 'connection-lost',
  PeerTimeoutError: 'timed-out',
};

/** Returns why a try at the leader failed, from its error and the refusal in it, if any. */
export function classifyTryFailure(err: Error, refusal: Refusal | undefined): CallFailureReason {
  if (!refusal) return REASONS_BY_ERROR[err.name] ?? 'failed';
  const details = refusal.details as { leaderId?: string; reason?: CallFailureReason } | undefined;
  return details?.reason ?? (details?.leaderId === undefined ? 'no-leader-known' : 'not-leader');
}
