import type {
  EvacuationCommand,
  EvacuationResult,
  EvacuationSnapshot,
} from '@lagoongap/model/evacuationState.js';
import type { EndpointDirectory } from './endpointDirectory.js';
import type { SessionContext } from './sessionContext.js';

/** Change of the evacuation of a data centre. */
export interface EvacuationCall {
  dataCentre: string;
  /** Version of the evacuations that the caller has read. */
  version: number;
}

/** Response to a change. */
export interface EvacuationResponse {
  type: EvacuationResult;
}

/** Options of an {@link EvacuationService}. */
export interface EvacuationServiceOptions {
  context: SessionContext;
  directory: EndpointDirectory;
  /** Called after a change, as other endpoints are available from now on. */
  onChanged: () => void;
}

/** Handles the calls of operators that begin and end evacuations of data centres. */
export class EvacuationService {
  private readonly opts: EvacuationServiceOptions;

  constructor(opts: EvacuationServiceOptions) {
    this.opts = opts;
  }

  /** Returns the evacuations and the version that a change must name. */
  read(): EvacuationSnapshot {
    return this.opts.context.state.evacuations.snapshot();
  }

  /** Begins an evacuation; resolves when it is durable, also if it is in force already. */
  begin({ dataCentre, version }: EvacuationCall): Promise<EvacuationResponse> {
    const acceptedMs = Date.now();
    return this.change({ type: 'begin-evacuation', dataCentre, version, acceptedMs });
  }

  /** Ends an evacuation; resolves when that is durable, also if there is none. */
  end({ dataCentre, version }: EvacuationCall): Promise<EvacuationResponse> {
    return this.change({ type: 'end-evacuation', dataCentre, version });
  }

  private async change(command: EvacuationCommand): Promise<EvacuationResponse> {
    const { context, onChanged } = this.opts;
    // Committed even if nothing changes, so that an earlier change in flight cannot follow it.
    const type = (await context.propose(command)) as EvacuationResult;
    if (type === 'accepted') {
      this.logChange(command);
      onChanged();
    } else {
      const { type: change, dataCentre } = command;
      context.logger.info('evacuation is not changed', { change, dataCentre, reason: type });
    }
    return { type };
  }

  private logChange({ type, dataCentre }: EvacuationCommand): void {
    const { context, directory } = this.opts;
    const agents = directory.list().filter(({ record }) => record.dataCentre === dataCentre);
    const message = type === 'begin-evacuation' ? 'evacuation begins' : 'evacuation ends';
    context.logger.notice(message, {
      dataCentre,
      endpoints: agents.length,
      runs: agents.reduce((sum, { runs }) => sum + runs.size, 0),
      evacuated: context.state.evacuations.list().length,
    });
  }
}
