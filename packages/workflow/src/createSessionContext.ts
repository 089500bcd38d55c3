import type { LeadershipMonitor } from './leadershipMonitor.js';
import { proposeWhileLeading } from './proposeWhileLeading.js';
import type { SessionContext, WorkflowSessionOptions } from './sessionContext.js';
import { DEFAULT_CELL_LIMITS } from './cellLimits.js';
import { DEFAULT_WORKFLOW_FEATURES } from './workflowFeatures.js';

/** Parts of a session that its context refers to. */
export interface SessionContextParts {
  monitor: LeadershipMonitor;
  /** Returns whether the session has been disposed of. */
  isDisposed: () => boolean;
  readConfig: SessionContext['readConfig'];
}

/** Creates the dependencies shared by all components of a leadership that begins now. */
export function createSessionContext(
  opts: WorkflowSessionOptions,
  { monitor, isDisposed, readConfig }: SessionContextParts,
): SessionContext {
  const { log, meter } = opts;
  const { term } = log;
  return {
    state: opts.state,
    driver: opts.driver,
    timing: opts.timing,
    features: opts.features ?? DEFAULT_WORKFLOW_FEATURES,
    limits: opts.limits ?? DEFAULT_CELL_LIMITS,
    logger: opts.logger,
    meter,
    fencingToken: term,
    predecessorEndMs: Math.min(performance.now(), log.predecessorEndMs ?? Infinity),
    // The instance may be elected again before the session is disposed of.
    isValid: () => !isDisposed() && log.term === term && opts.isValid(),
    describeLeadership: () => monitor.describe(),
    propose: async (command) => {
      const startMs = performance.now();
      const result = await proposeWhileLeading(log, command, term);
      meter.countCommit(performance.now() - startMs);
      return result;
    },
    readConfig,
  };
}
