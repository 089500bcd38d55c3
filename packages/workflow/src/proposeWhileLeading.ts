import { NotLeaderError } from '@lagoongap/consensus/notLeaderError.js';
import type { ReplicatedLog } from '@lagoongap/consensus/replicatedLog.js';
import { delay } from '@lagoongap/model/delay.js';

import type { WorkflowCommand } from './workflowCommand.js';

/** Pause before a command that was not taken is proposed again. */
const RETRY_MS = 30;

/**
 * Commits a command and returns its result. A leader that loses its majority for a moment takes
 * no commands but may go on to lead, so the command is proposed again as long as it does.
 * Rejects with NotLeaderError or CommitUnknownError when the leadership of `term` is over.
 */
export async function proposeWhileLeading(
  log: ReplicatedLog,
  command: WorkflowCommand,
  term: number,
): Promise<unknown> {
  for (;;) {
    try {
      return (await log.propose(command)).result;
    } catch (err) {
      const isLeading = log.role === 'leader' && log.term === term;
      if (!(err instanceof NotLeaderError) || !isLeading) throw err;
      await delay(RETRY_MS);
    }
  }
}
