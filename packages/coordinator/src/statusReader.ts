import type { ReplicatedLog } from '@lagoongap/consensus/replicatedLog.js';
import type { ClusterStatus, EndpointStatus } from '@lagoongap/model/messages.js';
import { resolveWorks } from '@lagoongap/model/endpointRules.js';
import { addResources, NO_RESOURCES } from '@lagoongap/model/resources.js';
import type { Scheduler } from '@lagoongap/scheduling/scheduler.js';
import type { ClusterState } from '@lagoongap/state/clusterState.js';

import type { EndpointLeases } from './endpointLeases.js';
import type { GatewaySessions } from './gatewaySessions.js';

/** An instance from the settings. */
export interface InstanceInfo {
  id: string;
  dataCentre: string;
  roles?: string[];
}

/** Options of {@link StatusReader}. */
export interface StatusReaderOptions {
  instanceId: string;
  instances: InstanceInfo[];
  log: ReplicatedLog;
  state: ClusterState;
  scheduler: Scheduler;
  leases: EndpointLeases;
  sessions: GatewaySessions;
  isReachable: (instance: string) => boolean;
  isEjected: (endpointId: string) => boolean;
  /** Returns whether an endpoint is reserved for a suspect of a crash. */
  isReserved: (endpointId: string) => boolean;
}

/** Collects the cluster status for operators. */
export class StatusReader {
  private readonly opts: StatusReaderOptions;

  constructor(opts: StatusReaderOptions) {
    this.opts = opts;
  }

  readStatus(): ClusterStatus {
    const { instanceId, instances, log, state, scheduler, sessions, isReachable } = this.opts;
    const stats = scheduler.readStats();
    const noteNumbers = new Map(
      sessions.listNoteStates(state.config.number).map((force) => [force.instance, force.number]),
    );
    return {
      leader: instanceId,
      term: log.term,
      number: state.config.number,
      instances: instances.map(({ id, dataCentre, roles }) => {
        const validityMs = sessions.getRemainingValidityMs(id);
        return {
          id,
          dataCentre,
          roles,
          isReachable: id === instanceId || isReachable(id),
          alive: validityMs > 0,
          validityMs,
          number: noteNumbers.get(id) ?? 0,
        };
      }),
      ...log.members(),
      ...stats,
      running: state.attempts.size,
      runningByTeam: this.sumRunningByTeam(),
    };
  }

  listEndpoints(): EndpointStatus[] {
    const { state, leases, isEjected, isReserved } = this.opts;
    return [...state.endpoints.values()].map((endpoint) => {
      const { id, kind, dataCentre, rack, size } = endpoint.announcement;
      return {
        id,
        kind,
        dataCentre,
        rack,
        size,
        state: leases.resolveState(endpoint),
        ejected: isEjected(id),
        reserved: isReserved(id),
        evacuated: state.isEvacuated(id),
        works: [...resolveWorks(state.config, endpoint.announcement)],
        attempts: state.attempts.listByEndpoint(id).size,
      };
    });
  }

  private sumRunningByTeam(): NonNullable<ClusterStatus['runningByTeam']> {
    const sums: NonNullable<ClusterStatus['runningByTeam']> = {};
    for (const { team, size } of this.opts.state.attempts.values()) {
      const sum = sums[team];
      sums[team] = { ...addResources(sum ?? NO_RESOURCES, size), tasks: (sum?.tasks ?? 0) + 1 };
    }
    return sums;
  }
}
