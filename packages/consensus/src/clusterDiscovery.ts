import { isMajority } from './quorum.js';
import type { RaftTransport } from './raftTransport.js';

/** Interval between two rounds of queries. */
const QUERY_INTERVAL_MS = 100;

/** Messages that a replica without data exchanges to find out whether a cluster exists. */
export type BootstrapMessage =
  | { type: 'bootstrap-query'; fromInstance: string }
  | { type: 'bootstrap-answer'; fromInstance: string; hasHistory: boolean };

/** Returns whether a message belongs to cluster discovery. */
export function isBootstrapMessage(message: { type?: unknown }): message is BootstrapMessage {
  return message.type === 'bootstrap-query' || message.type === 'bootstrap-answer';
}

/**
 * Queries the other initial voters whether a cluster exists, before a replica without data adopts
 * the bootstrap replica id of its instance. Without this check, an instance that lost its disk
 * could vote twice in a term, or help to elect a leader that lacks an entry which the instance had
 * acknowledged.
 *
 * Discovery ends with the first response that reports history, or with responses without history
 * from a majority of the other initial voters. History means a term or an entry beyond the first
 * one, which every initial voter writes on its own. A voter takes part in the first election only
 * after it has stored a later term, so it reports history from then on.
 *
 * This relies on two assumptions: the list of initial voters is the same on all instances, and no
 * replica loses its disk between its first vote and the time at which a majority of the other
 * initial voters has taken part in an election. With three initial voters all others must respond,
 * so the second assumption fails only if two disks are lost. An initial voter that first starts
 * after the others have elected a leader gets a random replica id and is added like a replacement.
 */
export class ClusterDiscovery implements Disposable {
  private readonly respondents = new Set<string>();
  private readonly peers: string[];
  private timer: NodeJS.Timeout | undefined;
  private finish: ((clusterExists: boolean) => void) | undefined;

  constructor(
    private readonly instanceId: string,
    voters: string[],
    private readonly transport: RaftTransport,
  ) {
    this.peers = voters.filter((id) => id !== instanceId);
  }

  /** Resolves with whether a cluster exists; waits until enough voters have responded. */
  async clusterExists(): Promise<boolean> {
    if (this.peers.length === 0) return false;
    return new Promise((resolve) => {
      this.finish = resolve;
      this.timer = setInterval(() => this.sendQueries(), QUERY_INTERVAL_MS);
      this.sendQueries();
    });
  }

  /** Handles the response of a voter. */
  handleResponse(fromInstance: string, hasHistory: boolean): void {
    if (!this.peers.includes(fromInstance)) return;
    if (hasHistory) {
      this.complete(true);
      return;
    }
    this.respondents.add(fromInstance);
    if (isMajority(this.respondents.size, this.peers.length)) this.complete(false);
  }

  /** Stops the queries; a pending {@link clusterExists} resolves with a meaningless result. */
  [Symbol.dispose](): void {
    this.complete(true);
  }

  private sendQueries(): void {
    const query: BootstrapMessage = { type: 'bootstrap-query', fromInstance: this.instanceId };
    for (const id of this.peers) if (!this.respondents.has(id)) this.transport.send(id, query);
  }

  private complete(clusterExists: boolean): void {
    clearInterval(this.timer);
    this.finish?.(clusterExists);
  }
}
