import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { WorkflowGateway } from '@lagoongap/daemon/workflowGateway.js';
import { replicaInstanceId } from '@lagoongap/daemon/workflowPeers.js';
import { WorkflowReplica } from '@lagoongap/daemon/workflowReplica.js';
import { SILENT_LOG } from '@lagoongap/model/log.js';
import { CallerApi } from '@lagoongap/platform/callerApi.js';
import { parseConfigDocument } from '@lagoongap/platform/configDocument.js';
import { ControlApi } from '@lagoongap/platform/controlApi.js';
import { HttpAdvisor } from '@lagoongap/platform/httpAdvisor.js';
import { HttpEndpointDriver } from '@lagoongap/platform/httpEndpointDriver.js';
import { HttpService } from '@lagoongap/platform/httpService.js';
import { PlatformClient } from '@lagoongap/platform/platformClient.js';
import { DEFAULT_WORKFLOW_TIMING } from '@lagoongap/workflow/workflowTiming.js';

import { findFreePort } from '../harness/findFreePort.js';
import { EndpointStandIn } from './endpointStandIn.js';

const HOST = '127.0.0.1';
const MAX_BODY_BYTES = 1024 * 1024;

interface RunningReplica {
  replica: WorkflowReplica;
  control: HttpService;
  address: string;
  peerPort: number;
  folder: string;
}

/** Replicas and a gateway on loopback, with simulated endpoints and advisor. */
export class PlatformCell implements AsyncDisposable {
  readonly endpoints: EndpointStandIn[] = [];
  callers = '';
  private readonly client = new PlatformClient();
  private readonly advisor = new EndpointStandIn('advisor', () => []);
  private replicas: RunningReplica[] = [];
  private seeds: string[] = [];
  private gateway: WorkflowGateway | undefined;
  private callerService: HttpService | undefined;

  /** Control addresses of the running replicas. */
  get controlAddresses(): string[] {
    return this.replicas.map(({ address }) => address);
  }

  async start(replicaCount: number): Promise<void> {
    await this.advisor.start();
    const ports: number[] = [];
    while (ports.length < replicaCount) ports.push(await findFreePort());
    const seeds = ports.map((port) => replicaInstanceId(HOST, port));
    this.seeds = seeds;
    for (const port of ports) {
      this.replicas.push(await this.createReplica(port, await PlatformCell.createFolder()));
    }
    await Promise.all(this.replicas.map(({ replica }) => replica.start()));
    const gateway = new WorkflowGateway({
      host: HOST,
      peerPort: await findFreePort(),
      seeds,
      advisor: new HttpAdvisor(this.client, this.advisor.address, SILENT_LOG),
      log: SILENT_LOG,
    });
    this.gateway = gateway;
    await gateway.start();
    const api = new CallerApi(gateway.jobs, SILENT_LOG);
    this.callers = `${HOST}:${await findFreePort()}`;
    this.callerService = this.createService(this.callers, api);
    await this.callerService.listen();
  }

  async addEndpoints(count: number): Promise<void> {
    for (let i = 1; i <= count; i += 1) {
      const endpoint = new EndpointStandIn(`i-${i}`, () => this.controlAddresses);
      this.endpoints.push(endpoint);
      await endpoint.start();
    }
  }

  /** Stops the leader without draining it. */
  async stopLeader(): Promise<void> {
    const index = this.replicas.findIndex(({ replica }) => replica.isLeader);
    const [leader] = this.replicas.splice(index, 1);
    await PlatformCell.stopReplica(leader!);
    await rm(leader!.folder, { recursive: true, force: true });
  }

  /** Stops all replicas and starts them again on their data folders. */
  async restartReplicas(): Promise<void> {
    const stopped = this.replicas.splice(0);
    for (const running of stopped) await PlatformCell.stopReplica(running);
    for (const { peerPort, folder, address } of stopped) {
      this.replicas.push(await this.createReplica(peerPort, folder, address));
    }
    await Promise.all(this.replicas.map(({ replica }) => replica.start()));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const endpoint of [...this.endpoints, this.advisor]) await endpoint[Symbol.asyncDispose]();
    await this.callerService?.[Symbol.asyncDispose]();
    await this.gateway?.[Symbol.asyncDispose]();
    for (const running of this.replicas) {
      await PlatformCell.stopReplica(running);
      await rm(running.folder, { recursive: true, force: true });
    }
    await this.client[Symbol.asyncDispose]();
  }

  private static createFolder(): Promise<string> {
    return mkdtemp(join(tmpdir(), 'lagoongap-platform-'));
  }

  private async createReplica(
    peerPort: number,
    folder: string,
    formerAddress?: string,
  ): Promise<RunningReplica> {
    const replica = new WorkflowReplica({
      host: HOST,
      peerPort,
      dataFolder: join(folder, 'data'),
      bootstrap: true,
      seeds: this.seeds,
      driver: new HttpEndpointDriver(this.client, SILENT_LOG),
      parseConfig: parseConfigDocument,
      timing: DEFAULT_WORKFLOW_TIMING,
      log: SILENT_LOG,
      onFatal: (err) => {
        throw err;
      },
    });
    const address = formerAddress ?? `${HOST}:${await findFreePort()}`;
    const port = Number(address.slice(HOST.length + 1));
    const api = new ControlApi({ leader: replica.leader, controlPort: port, log: SILENT_LOG });
    const control = this.createService(address, api);
    await control.listen();
    return { replica, control, address, peerPort, folder };
  }

  private createService(address: string, api: CallerApi | ControlApi): HttpService {
    return new HttpService({
      address,
      maxBodyBytes: MAX_BODY_BYTES,
      handle: (call) => api.handle(call),
      log: SILENT_LOG,
    });
  }

  private static async stopReplica({ replica, control }: RunningReplica): Promise<void> {
    await control[Symbol.asyncDispose]();
    await replica[Symbol.asyncDispose]();
  }
}
