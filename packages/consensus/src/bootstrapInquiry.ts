import { isMajority } from './quorum.js';
import type { RaftTransport } from './raftTransport.js';

/** Time between two rounds of queries. */
const QUERY_INTERVAL_MS = 100;

/** Messages by which an empty replica asks whether a cluster exists. */
export type BootstrapMessage =
  | { type: 'bootstrap-query'; fromInstance: string }
  | { type: 'bootstrap-answer'; fromInstance: string; hasHistory: boolean };

/** Tells whether a message belongs to the inquiry. */
export function isBootstrapMessage(message: { type?: unknown }): message is BootstrapMessage {
  return message.type === 'bootstrap-query' || message.type === 'bootstrap-answer';
}

/**
 * Asks the other initial voters whether a cluster exists, before an empty replica takes up the
 * bootstrap identity of its instance. Otherwise an instance that lost its disk could vote a
 * second time in a term, or help to elect a leader without an entry that it acknowledged.
 *
 * The first replica that reports history ends the inquiry; so does a majority of the other
 * initial voters without history. History means a term or an entry beyond the first one,
 * which every initial voter writes on its own: a voter takes part in the first election only
 * with a durable later term, so it reports history from then on.
 *
 * Remaining assumptions: the list of initial voters is the same everywhere; and no replica loses
 * its disk between its first vote and the time at which a majority of the other initial voters
 * has taken part in an election. With three initial voters all others must answer, so the
 * second one holds unless two disks are lost. An initial voter that first starts after the
 * others have elected a leader takes a random id and is added like a replacement.
 */
export class BootstrapInquiry implements Disposable {
  private readonly answers = new Set<string>();
  private readonly others: string[];
  private timer: NodeJS.Timeout | undefined;
  private finish: ((clusterExists: boolean) => void) | undefined;

  constructor(
    private readonly instanceId: string,
    voters: string[],
    private readonly transport: RaftTransport,
  ) {
    this.others = voters.filter((id) => id !== instanceId);
  }

  /** Resolves with true if a cluster exists; waits as long as too few others answer. */
  async clusterExists(): Promise<boolean> {
    if (this.others.length === 0) return false;
    return new Promise((resolve) => {
      this.finish = resolve;
      this.timer = setInterval(() => this.ask(), QUERY_INTERVAL_MS);
      this.ask();
    });
  }

  /** Takes an answer. */
  receive(fromInstance: string, hasHistory: boolean): void {
    if (!this.others.includes(fromInstance)) return;
    if (hasHistory) {
      this.end(true);
      return;
    }
    this.answers.add(fromInstance);
    if (isMajority(this.answers.size, this.others.length)) this.end(false);
  }

  /** Stops asking; the answer has no meaning then. */
  [Symbol.dispose](): void {
    this.end(true);
  }

  private ask(): void {
    const query: BootstrapMessage = { type: 'bootstrap-query', fromInstance: this.instanceId };
    for (const id of this.others) if (!this.answers.has(id)) this.transport.send(id, query);
  }

  private end(clusterExists: boolean): void {
    clearInterval(this.timer);
    this.finish?.(clusterExists);
  }
}
