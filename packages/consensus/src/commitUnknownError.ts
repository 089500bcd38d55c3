import { ConsensusError } from './consensusError.js';

/** Thrown if leadership ended after the entry was appended, so that it may or may not commit. */
export class CommitUnknownError extends ConsensusError {
  constructor(index: number, cause?: Error) {
    super(
      `leadership ended before entry ${index} was known to be committed`,
      { cause, info: { index } },
      'CommitUnknownError',
    );
  }
}
