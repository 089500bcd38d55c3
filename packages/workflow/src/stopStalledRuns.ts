import type { Log } from '@lagoongap/model/log.js';

import type { OutcomeRecorder } from './outcomeRecorder.js';
import type { StragglerDetector } from './stragglerDetector.js';

/** Stops stalled runs, so that their tasks start elsewhere. */
export function stopStalledRuns(
  stragglers: StragglerDetector,
  outcomes: OutcomeRecorder,
  logger: Log,
): void {
  for (const { agent, run } of stragglers.findStalled()) {
    logger.warn('run is stalled', { run: run.key, endpoint: agent.id });
    outcomes.recordFailure(agent, run.task);
    agent.stop(run);
  }
}
