import type { HistoryEvent } from '@lagoongap/stand-in/standInOptions.js';

import type { History } from './history.js';

/** Checks one invariant; returns a message for each violation. */
export type HistoryChecker = (history: History) => string[];

const ECHO_PREFIX = 'echo:';

function groupStartsByMarker(events: HistoryEvent[]): Map<string, HistoryEvent[]> {
  const starts = new Map<string, HistoryEvent[]>();
  for (const event of events) {
    if (event.type !== 'start' || event.marker === undefined) continue;
    const list = starts.get(event.marker) ?? [];
    list.push(event);
    starts.set(event.marker, list);
  }
  return starts;
}

/** Checks that a request that must not be repeated runs at most once. */
export function checkAtMostOnce({ calls, events }: History): string[] {
  const starts = groupStartsByMarker(events);
  return calls
    .filter(({ noRepeat, marker }) => noRepeat && (starts.get(marker)?.length ?? 0) > 1)
    .map(({ marker }) => `${marker} must not be repeated and was started more than once`);
}

/** Checks that no task or request has two attempts running at the same time. */
export function checkNoOverlap({ events }: History): string[] {
  const endedAtMs = new Map<string, number>();
  for (const event of events) {
    if (event.type === 'end') endedAtMs.set(event.attempt, event.monotonicMs);
  }
  const violations: string[] = [];
  for (const [marker, starts] of groupStartsByMarker(events)) {
    const inOrder = [...starts].sort((a, b) => a.monotonicMs - b.monotonicMs);
    for (let i = 1; i < inOrder.length; i += 1) {
      const previous = inOrder[i - 1]!;
      const endMs = endedAtMs.get(previous.attempt) ?? Infinity;
      if (endMs > inOrder[i]!.monotonicMs) {
        violations.push(
          `${marker} ran on ${previous.endpoint} and ${inOrder[i]!.endpoint} at the same time`,
        );
      }
    }
  }
  return violations;
}

/** Checks that a caller gets the complete response to its own request. */
export function checkCompleteResponses({ calls }: History): string[] {
  return calls
    .filter(({ outcome, body, sent }) => outcome === 'answered' && body !== ECHO_PREFIX + sent)
    .map(({ marker, body }) => `${marker} got the response "${body?.slice(0, 80)}"`);
}

/** Checks that no request ran whose refusal states `not-run`. */
export function checkTruthfulRefusals({ calls, events }: History): string[] {
  const starts = groupStartsByMarker(events);
  return calls
    .filter(({ refusal, marker }) => refusal?.runState === 'not-run' && starts.has(marker))
    .map(({ marker, refusal }) => `${marker} was refused as not-run (${refusal!.type}) but ran`);
}

/** Checks that each answered request has run. */
export function checkAnsweredRequestsRan({ calls, events }: History): string[] {
  const starts = groupStartsByMarker(events);
  return calls
    .filter(({ outcome, marker }) => outcome === 'answered' && !starts.has(marker))
    .map(({ marker }) => `${marker} got a response but no endpoint ran it`);
}

/** History checkers, by the name of the invariant that each one checks. */
export const HISTORY_CHECKERS: Record<string, HistoryChecker> = {
  'at most once': checkAtMostOnce,
  'no overlap': checkNoOverlap,
  'whole answers': checkCompleteResponses,
  'truthful refusals': checkTruthfulRefusals,
  'answered means ran': checkAnsweredRequestsRan,
};

/** Runs all checkers; returns the violations, prefixed with the name of the invariant. */
export function checkHistory(history: History): string[] {
  return Object.entries(HISTORY_CHECKERS).flatMap(([name, check]) =>
    check(history).map((violation) => `${name}: ${violation}`),
  );
}
