import { LeaderSession, type LeaderSessionOptions } from '@lagoongap/coordinator/leaderSession.js';
import { SILENT_LOG } from '@lagoongap/model/log.js';
import { HttpEndpointClient } from '@lagoongap/routing/httpEndpointClient.js';
import { NoHealthPolicy } from '@lagoongap/routing/noHealthPolicy.js';
import { FirstFitFifoScheduler } from '@lagoongap/scheduling/firstFitFifoScheduler.js';
import { Metrics } from '@lagoongap/telemetry/metrics.js';

/** Creates a leader session that places work first come, first served. */
export function createLeaderSession(
  opts: Pick<LeaderSessionOptions, 'log' | 'state'> & Partial<LeaderSessionOptions>,
): LeaderSession {
  return new LeaderSession({
    instanceId: 'instance-1',
    instances: [{ id: 'instance-1', dataCentre: 'dc-1' }],
    scheduler: new FirstFitFifoScheduler(),
    endpointClient: new HttpEndpointClient(),
    health: new NoHealthPolicy(),
    metrics: new Metrics({ processMetrics: false }),
    timing: { gatewayValidityMs: 2000, endpointHeartbeatMs: 1500, endpointLeaseMs: 6000 },
    maxBatch: 100,
    logger: SILENT_LOG,
    isReachable: () => true,
    ...opts,
  });
}
