import type { QueuePolicy } from './cellConfig.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import type { FleetCandidate } from './endpointSlots.js';
import { limitCapacity } from './endpointWarmup.js';
import { allowsDataCentre, toEndpointSetKey } from './queueRegions.js';
import type { RunLedger } from './runLedger.js';
import type { SessionContext } from './sessionContext.js';

/** Dependencies of {@link CandidateLists}. */
export interface CandidateListsOptions {
  context: SessionContext;
  directory: EndpointDirectory;
  durations: { durationFactor(endpoint: string, kind: string): number };
  ledger: RunLedger;
}

/** Maximum age of the list of available endpoints. */
const MAX_AGE_MS = 20;

/** Lists the available endpoints of queues; lists are kept for the length of a scheduling cycle. */
export class CandidateLists {
  private readonly opts: CandidateListsOptions;
  /** Available endpoints, by pool and regions. */
  private readonly lists = new Map<string, Map<string, FleetCandidate>>();
  private listedMs = -Infinity;
  private version = 0;

  constructor(opts: CandidateListsOptions) {
    this.opts = opts;
  }

  /** Returns the available endpoints that a queue may use; constant during a cycle. */
  list(queue: QueuePolicy): Map<string, FleetCandidate> {
    const key = toEndpointSetKey(queue);
    let list = this.lists.get(key);
    if (!list) {
      list = this.create(queue);
      this.lists.set(key, list);
    }
    return list;
  }

  /** Returns the endpoints that are available now. */
  listRecent(queue: QueuePolicy): Map<string, FleetCandidate> {
    this.dropOutdated();
    return this.list(queue);
  }

  /** Discards the lists if they are outdated. */
  dropOutdated(): void {
    const { version } = this.opts.directory;
    const nowMs = performance.now();
    const isRecent = nowMs - this.listedMs <= MAX_AGE_MS;
    if (isRecent && version === this.version && this.lists.size > 0) return;
    this.lists.clear();
    this.listedMs = nowMs;
    this.version = version;
  }

  /** Discards all lists. */
  clear(): void {
    this.lists.clear();
  }

  private create(queue: QueuePolicy): Map<string, FleetCandidate> {
    const { context, directory, durations, ledger } = this.opts;
    const { pool } = queue;
    const candidates = new Map<string, FleetCandidate>();
    const policy = context.readConfig()?.pools?.find(({ name }) => name === pool);
    const nowMs = performance.now();
    for (const { id, record, hasLatencyTarget, warmup } of directory.listAvailable(pool)) {
      const { kind, rack, labels, capacity } = record;
      if (!allowsDataCentre(queue, record.dataCentre)) continue;
      const cold = warmup.findLimits(capacity, policy, nowMs);
      candidates.set(id, {
        id,
        kind,
        rack,
        labels,
        capacity: cold ? limitCapacity(capacity, cold) : capacity,
        cold,
        durationFactor: durations.durationFactor(id, kind),
        isLatencySensitive: hasLatencyTarget,
        usage: ledger.usageOf(id),
      });
    }
    return candidates;
  }
}
