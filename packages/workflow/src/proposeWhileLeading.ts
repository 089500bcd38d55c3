import { NotLeaderError } from '@lagoongap/consensus/notLeaderError.js';
import type { ReplicatedLog } from '@lagoongap/consensus/replicatedLog.js';
import { delay } from '@lagoongap/model/delay.js';

import type { WorkflowCommand } from './workflowCommand.js';

/** Delay before a command that was not accepted is proposed again. */
const PROPOSAL_RETRY_MS = 30;

/**
 * Commits a command and returns its result. A leader that briefly loses its majority accepts no
 * commands but may remain leader, so the command is proposed again as long as it leads.
 * Rejects with NotLeaderError or CommitUnknownError once the leadership of `term` has ended.
 */
export async function proposeWhileLeading(
  log: ReplicatedLog,
  command: WorkflowCommand,
  term: number,
): Promise<unknown> {
  for (;;) {
    // A leadership that has ended may still have work in progress when the next one begins here.
    if (log.term !== term) throw new NotLeaderError(log.leaderId);
    try {
      return (await log.propose(command)).result;
    } catch (err) {
      const isLeading = log.role === 'leader' && log.term === term;
      if (!(err instanceof NotLeaderError) || !isLeading) throw err;
      await delay(PROPOSAL_RETRY_MS);
    }
  }
}
