import assert from 'node:assert/strict';

import { Given, Then, When } from '@cucumber/cucumber';
import { GatewaySessions } from '@lagoongap/coordinator/gatewaySessions.js';
import { ValidityGuard } from '@lagoongap/coordinator/validityGuard.js';
import { ClusterState } from '@lagoongap/state/clusterState.js';

import type { ReplicaCluster } from '../../consensus/replicaCluster.js';

interface GatewayValidityWorld {
  cluster: ReplicaCluster;
  /** Instance id of the first leader. */
  leader: string;
  sessions: GatewaySessions;
  grantedMs: number;
}

Given(
  'gateway sessions of the Raft leader with a validity of {int} ms',
  function createSessions(this: GatewayValidityWorld, gatewayValidityMs: number) {
    const { replica } = this.cluster.get(this.leader);
    this.sessions = new GatewaySessions({
      instanceId: this.leader,
      term: () => replica.term,
      state: new ClusterState(),
      guard: new ValidityGuard(replica),
      timing: { gatewayValidityMs, endpointHeartbeatMs: 1500, endpointLeaseMs: 6000 },
      instances: [this.leader],
    });
  },
);

When('a gateway polls its sessions', function poll(this: GatewayValidityWorld) {
  const params = { instance: this.leader, bootId: 'boot-1', number: 0 };
  this.grantedMs = this.sessions.poll(params).validityMs;
});

Then(
  'the gateway is granted validity for {int} ms at most',
  function checkMaximum(this: GatewayValidityWorld, boundMs: number) {
    assert.ok(this.grantedMs <= boundMs, `validity of ${this.grantedMs} ms was granted`);
  },
);

Then(
  'the gateway is granted validity for {int} ms at least',
  function checkMinimum(this: GatewayValidityWorld, boundMs: number) {
    assert.ok(this.grantedMs >= boundMs, `validity of ${this.grantedMs} ms was granted`);
  },
);
