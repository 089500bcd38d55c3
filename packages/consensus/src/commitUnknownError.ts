import { ConsensusError } from './consensusError.js';

/** Leadership ended after the entry was appended; it may or may not commit. */
export class CommitUnknownError extends ConsensusError {
  constructor(index: number, cause?: Error) {
    super(
      `leadership ended before the commit of entry ${index} was seen`,
      { cause, info: { index } },
      'CommitUnknownError',
    );
  }
}
