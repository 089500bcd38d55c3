import { ManualCommitLog } from './manualCommitLog.js';

/** Commits every proposal at once. */
export class EagerCommitLog extends ManualCommitLog {
  override propose(command: unknown): ReturnType<ManualCommitLog['propose']> {
    const result = super.propose(command);
    this.commitAll();
    return result;
  }
}
