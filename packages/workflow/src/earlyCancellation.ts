import { CancellationTable } from '@lagoongap/model/cancellationTable.js';

/**
 * Cancellation of a job that was not known. It only matches submissions of the same organisation, so
 * that nobody can block the ids of others.
 */
export interface EarlyCancellation {
  /** Id of the job. */
  id: string;
  queue: string;
  /** Empty for calls without a key, which open queues accept. */
  organisation: string;
}

export function createCancellationTable(): CancellationTable<EarlyCancellation> {
  return new CancellationTable({
    ownerOf: ({ organisation }) => organisation,
    textsOf: ({ id, queue, organisation }) => [queue, organisation, id],
  });
}
