import type {
  EvacuationCommand,
  EvacuationResult,
  EvacuationSnapshot,
} from '@lagoongap/model/evacuationState.js';
import type { Log } from '@lagoongap/model/log.js';
import type { EvacuationParams } from '@lagoongap/model/messages.js';
import type { ClusterState } from '@lagoongap/state/clusterState.js';

import type { CommitQueue } from './commitQueue.js';

/** Options of {@link EvacuationService}. */
export interface EvacuationServiceOptions {
  state: ClusterState;
  commits: CommitQueue;
  log: Log;
  /** Called after a change of a data centre. */
  onChanged: (dataCentre: string) => void;
}

/** Begins and ends evacuations of data centres for operators. */
export class EvacuationService {
  private readonly opts: EvacuationServiceOptions;

  constructor(opts: EvacuationServiceOptions) {
    this.opts = opts;
  }

  /** Returns the evacuations and the version that a change must name. */
  read(): EvacuationSnapshot {
    return this.opts.state.evacuations.snapshot();
  }

  /** Begins an evacuation; resolves when it is committed, also if it is in force already. */
  begin({ dataCentre, version, by }: EvacuationParams): Promise<{ type: EvacuationResult }> {
    const acceptedMs = Date.now();
    return this.change({ type: 'begin-evacuation', dataCentre, version, acceptedMs }, by);
  }

  /** Ends an evacuation; resolves when that is committed, also if there is none. */
  end({ dataCentre, version, by }: EvacuationParams): Promise<{ type: EvacuationResult }> {
    return this.change({ type: 'end-evacuation', dataCentre, version }, by);
  }

  private async change(change: EvacuationCommand, by: string): Promise<{ type: EvacuationResult }> {
    const { commits, log, onChanged } = this.opts;
    const { dataCentre } = change;
    const wallTime = Date.now();
    const type = await commits.commit<EvacuationResult>({
      type: 'change-evacuation',
      change,
      by,
      wallTime,
    });
    log.info('evacuation change committed', { change: change.type, dataCentre, by, result: type });
    if (type === 'accepted') onChanged(dataCentre);
    return { type };
  }
}
