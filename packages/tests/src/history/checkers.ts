import type { HistoryEvent } from '@lagoongap/stand-in/standInOptions.js';

import type { History } from './history.js';

/** Checks one invariant; returns a sentence for each violation. */
export type HistoryChecker = (history: History) => string[];

const ECHO_PREFIX = 'echo:';

function groupStarts(events: HistoryEvent[]): Map<string, HistoryEvent[]> {
  const starts = new Map<string, HistoryEvent[]>();
  for (const event of events) {
    if (event.type !== 'start' || event.marker === undefined) continue;
    const list = starts.get(event.marker) ?? [];
    list.push(event);
    starts.set(event.marker, list);
  }
  return starts;
}

/** A request that must not be repeated runs at most once. */
export function checkAtMostOnce({ calls, events }: History): string[] {
  const starts = groupStarts(events);
  return calls
    .filter(({ noRepeat, marker }) => noRepeat && (starts.get(marker)?.length ?? 0) > 1)
    .map(({ marker }) => `${marker} must not be repeated and was started more than once`);
}

/** No task or request runs in two places at once. */
export function checkNoOverlap({ events }: History): string[] {
  const endedAtMs = new Map<string, number>();
  for (const event of events) {
    if (event.type === 'end') endedAtMs.set(event.attempt, event.monotonicMs);
  }
  const violations: string[] = [];
  for (const [marker, starts] of groupStarts(events)) {
    const inOrder = [...starts].sort((a, b) => a.monotonicMs - b.monotonicMs);
    for (let i = 1; i < inOrder.length; i += 1) {
      const before = inOrder[i - 1]!;
      const endMs = endedAtMs.get(before.attempt) ?? Infinity;
      if (endMs > inOrder[i]!.monotonicMs) {
        violations.push(`${marker} ran on ${before.endpoint} and ${inOrder[i]!.endpoint} at once`);
      }
    }
  }
  return violations;
}

/** A caller gets the whole answer to its own request. */
export function checkWholeAnswers({ calls }: History): string[] {
  return calls
    .filter(({ outcome, body, sent }) => outcome === 'answered' && body !== ECHO_PREFIX + sent)
    .map(({ marker, body }) => `${marker} was answered with "${body?.slice(0, 80)}"`);
}

/** A refusal that says `not-run` is true. */
export function checkTruthfulRefusals({ calls, events }: History): string[] {
  const starts = groupStarts(events);
  return calls
    .filter(({ refusal, marker }) => refusal?.runState === 'not-run' && starts.has(marker))
    .map(({ marker, refusal }) => `${marker} was refused as not run (${refusal!.type}) but ran`);
}

/** An answer means that the request ran. */
export function checkAnsweredRan({ calls, events }: History): string[] {
  const starts = groupStarts(events);
  return calls
    .filter(({ outcome, marker }) => outcome === 'answered' && !starts.has(marker))
    .map(({ marker }) => `${marker} was answered but no endpoint ran it`);
}

/** All checkers by the name of their invariant. */
export const HISTORY_CHECKERS: Record<string, HistoryChecker> = {
  'at most once': checkAtMostOnce,
  'no overlap': checkNoOverlap,
  'whole answers': checkWholeAnswers,
  'truthful refusals': checkTruthfulRefusals,
  'answered means ran': checkAnsweredRan,
};

/** Runs all checkers. */
export function checkHistory(history: History): string[] {
  return Object.entries(HISTORY_CHECKERS).flatMap(([name, check]) =>
    check(history).map((violation) => `${name}: ${violation}`),
  );
}
