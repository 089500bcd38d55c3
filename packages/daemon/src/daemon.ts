import { randomBytes } from 'node:crypto';
import { availableParallelism, totalmem } from 'node:os';
import { delay } from '@lagoongap/model/delay.js';

import { RaftReplica } from '@lagoongap/consensus/raftReplica.js';
import { Coordinator } from '@lagoongap/coordinator/coordinator.js';
import { Authenticator } from '@lagoongap/gateway/authenticator.js';
import { CallerApi } from '@lagoongap/gateway/callerApi.js';
import { EndpointApi } from '@lagoongap/gateway/endpointApi.js';
import { GatewayServer } from '@lagoongap/gateway/gatewayServer.js';
import { HttpRouter } from '@lagoongap/gateway/httpRouter.js';
import { LeaderClient } from '@lagoongap/gateway/leaderClient.js';
import { OperatorApi } from '@lagoongap/gateway/operatorApi.js';
import { HealthApi } from '@lagoongap/gateway/healthApi.js';
import { RequestAdmission } from '@lagoongap/gateway/requestAdmission.js';
import { ReleaseQueue } from '@lagoongap/gateway/releaseQueue.js';
import { ValidityPoller } from '@lagoongap/gateway/validityPoller.js';
import type { Log } from '@lagoongap/model/log.js';
import { toError } from '@lagoongap/model/toError.js';
import { TlsCredentials } from '@lagoongap/peering/tlsCredentials.js';
import { TcpPeerNetwork } from '@lagoongap/peering/tcpPeerNetwork.js';
import { computeInstanceLimit } from '@lagoongap/routing/concurrencyLimiter.js';
import { EjectingHealthPolicy } from '@lagoongap/routing/ejectingHealthPolicy.js';
import { HttpEndpointClient } from '@lagoongap/routing/httpEndpointClient.js';
import { RetryBudget } from '@lagoongap/routing/retryBudget.js';
import type { DaemonSettings } from '@lagoongap/settings/daemonSettings.js';
import { ClusterState } from '@lagoongap/state/clusterState.js';
import { FileLogStore } from '@lagoongap/storage/fileLogStore.js';
import { Metrics } from '@lagoongap/telemetry/metrics.js';

import { computeJobBytes, resolveClientLimits } from './clientLimits.js';
import { DaemonError } from './daemonError.js';
import { InstanceDrainer } from './instanceDrainer.js';
import { createPeerTls, createServerTls, MIN_CALLER_TLS_VERSION } from './listenerTls.js';
import { PeerRaftTransport } from './peerRaftTransport.js';
import { PeerTrafficReporter } from './peerTrafficReporter.js';
import { ReplicaJoiner } from './replicaJoiner.js';
import { createScheduler } from './schedulerFactory.js';

/** Options of {@link Daemon}. */
export interface DaemonOptions {
  settings: DaemonSettings;
  logger: Log;
  /** Called when the daemon must stop because its durable state is no longer reliable. */
  onFatal: (err: Error) => void;
  /** Called when an operator drains this instance. */
  onDrain: () => void;
}

const BOOT_ID_BYTES = 6;
const BYTES_PER_MIB = 1024 * 1024;

/** Largest fraction of the requests held by an instance that may belong to one team. */
const MAX_TEAM_SHARE = 0.5;

/** Runs one instance of the system: a gateway and, if storage is configured, a replica. */
export class Daemon implements AsyncDisposable {
  private readonly opts: DaemonOptions;
  private readonly bootId = randomBytes(BOOT_ID_BYTES).toString('hex');
  private readonly network: TcpPeerNetwork;
  private readonly endpointClient = new HttpEndpointClient();
  private readonly metrics = new Metrics();
  private readonly peerTraffic = new PeerTrafficReporter(this.metrics);
  private readonly retries: RetryBudget;
  private readonly leader: LeaderClient;
  private readonly validity: ValidityPoller;
  private readonly releases: ReleaseQueue;
  private readonly drainer: InstanceDrainer;
  private readonly server: GatewayServer;
  private readonly resources: AsyncDisposable[] = [];
  private replica: RaftReplica | undefined;
  private isDraining = false;

  constructor(opts: DaemonOptions) {
    this.opts = opts;
    const { settings, logger } = opts;
    const { id } = settings.instance;
    const owner = `${id}:${this.bootId}`;
    this.retries = new RetryBudget({ share: settings.routing.retryBudget });
    this.network = new TcpPeerNetwork({
      selfId: id,
      listen: { host: settings.peering.host, port: settings.peering.port },
      peers: settings.peering.peers.map((peer) => ({ ...peer, dial: this.isDialled(peer.id) })),
      tls: createPeerTls(settings.peering.tls),
      logger,
    });
    this.drainer = new InstanceDrainer({
      network: this.network,
      replicaInstances: this.listReplicaInstances(),
      isDialled: (instance) => this.isDialled(instance),
      onDrain: opts.onDrain,
    });
    this.leader = new LeaderClient({
      network: this.network,
      replicaInstances: this.listReplicaInstances(),
      readLeaderHint: () => this.replica?.leaderId,
    });
    this.validity = new ValidityPoller({
      instanceId: id,
      bootId: this.bootId,
      leader: this.leader,
      pollMs: settings.timing.gatewayPollMs,
      validityMs: settings.timing.gatewayValidityMs,
      log: logger,
    });
    this.releases = new ReleaseQueue({ owner, leader: this.leader, log: logger });
    this.server = new GatewayServer({
      host: settings.http.host,
      port: settings.http.port,
      router: this.createRouter(owner),
      log: logger,
      tls: createServerTls(settings.http.tls),
      onRefused: ({ type }) => this.metrics.countRefusal(type),
      onLimit: (_, limit) => this.metrics.countClientLimit(limit),
      ...resolveClientLimits(settings.http),
    });
  }

  /** Port of the HTTP listener. */
  get httpPort(): number {
    return this.server.port;
  }

  /** Resolves once the instance is listening; it becomes ready after its first successful poll. */
  async start(): Promise<void> {
    const { settings, logger } = this.opts;
    if (settings.storage) await this.startReplica();
    await this.network.start();
    this.validity.start();
    await this.startHttpTls();
    await this.server.listen();
    logger.info('instance is listening', {
      instance: settings.instance.id,
      http: `${settings.http.host}:${this.httpPort}`,
      roles: settings.instance.roles,
    });
    // A replica with an empty disk may have to wait for others; the gateway serves meanwhile.
    await this.replica?.start();
    if (this.replica) this.startJoiner(this.replica);
  }

  /**
   * Shuts down gracefully: reports the instance as not ready, keeps serving new requests until the
   * load balancer has reacted, waits for accepted requests, then transfers leadership.
   */
  async drain(): Promise<void> {
    if (this.isDraining) return;
    this.isDraining = true;
    const { drainDelayMs, drainTimeoutMs } = this.opts.settings.timing;
    this.opts.logger.info('draining the instance', { calls: this.server.activeCalls });
    await delay(drainDelayMs);
    await this.server.close(drainTimeoutMs);
    await this.releases[Symbol.asyncDispose]();
    if (this.replica?.role === 'leader') {
      await this.replica.transferLeadership().catch((err: Error) => {
        this.opts.logger.warn('could not transfer leadership', { err: err.message });
      });
    }
    await this[Symbol.asyncDispose]();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.server[Symbol.asyncDispose]();
    await this.validity[Symbol.asyncDispose]();
    for (const resource of this.resources.splice(0).reverse())
      await resource[Symbol.asyncDispose]();
    await this.endpointClient[Symbol.asyncDispose]();
    await this.network[Symbol.asyncDispose]();
  }

  /**
   * Returns whether this instance keeps a connection to another one. Every connection has a replica
   * at one end at least: connections between gateways without a disk would carry nothing but pings,
   * whose number grows with the square of the number of gateways.
   */
  private isDialled(instance: string): boolean {
    const replicas = this.listReplicaInstances();
    return replicas.includes(this.opts.settings.instance.id) || replicas.includes(instance);
  }

  private listReplicaInstances(): string[] {
    const { peers } = this.opts.settings.peering;
    return peers.filter(({ roles }) => roles.includes('replica')).map(({ id }) => id);
  }

  /** Loads the certificates of the HTTP listener and reloads them when their files change. */
  private async startHttpTls(): Promise<void> {
    const { settings, logger } = this.opts;
    if (!settings.http.tls) return;
    const credentials = new TlsCredentials(settings.http.tls, logger);
    const load = (): void => {
      const { material } = credentials;
      this.server.replaceCertificates({ ...material, minVersion: MIN_CALLER_TLS_VERSION });
    };
    try {
      await credentials.start(load);
    } catch (err) {
      throw new DaemonError('could not load the certificates of [http.tls]', {
        cause: toError(err),
      });
    }
    load();
    this.resources.push({ [Symbol.asyncDispose]: async () => credentials[Symbol.dispose]() });
  }

  private async startReplica(): Promise<void> {
    const { settings, logger, onFatal } = this.opts;
    const { storage, timing, instance } = settings;
    if (!storage) throw new DaemonError('a replica needs a [storage] section');
    const state = new ClusterState();
    const store = new FileLogStore({ dataFolder: storage.dataFolder });
    this.resources.push(store);
    this.replica = new RaftReplica({
      instanceId: instance.id,
      bootstrapVoters: storage.bootstrap ? this.listReplicaInstances() : undefined,
      store,
      transport: new PeerRaftTransport(this.network),
      stateMachine: state,
      timing,
      snapshotEntries: storage.snapshotEntries,
      onFatal,
    });
    this.resources.push(this.replica);
    this.resources.push(
      new Coordinator({
        instanceId: instance.id,
        instances: settings.peering.peers,
        log: this.replica,
        state,
        createScheduler: () => createScheduler(settings.scheduling),
        createHealth: () =>
          new EjectingHealthPolicy({
            failureThreshold: settings.routing.ejectionFailures,
            firstProbationMs: settings.routing.ejectionBaseMs,
            maxProbationMs: settings.routing.ejectionMaxMs,
            maxEjectedShare: settings.routing.maxEjectedShare,
          }),
        metrics: this.metrics,
        endpointClient: this.endpointClient,
        timing,
        maxBatch: settings.scheduling.maxBatch,
        maxJobBytes: settings.scheduling.maxJobBytes ?? computeJobBytes(),
        logger,
        isReachable: (id) => this.network.isAlive(id),
        network: this.network,
        replicaInstances: this.listReplicaInstances(),
      }),
    );
  }

  private startJoiner(replica: RaftReplica): void {
    const joiner = new ReplicaJoiner({
      instanceId: this.opts.settings.instance.id,
      replicaId: replica.replicaId ?? '',
      log: replica,
      leader: this.leader,
      logger: this.opts.logger,
    });
    this.resources.push(joiner);
    joiner.start();
  }

  private createRouter(owner: string): HttpRouter {
    const { settings, logger } = this.opts;
    const { leader, validity, endpointClient, releases } = this;
    const router = new HttpRouter();
    const authenticator = new Authenticator(settings);
    validity.onConfiguration((config) => authenticator.update(config));
    new CallerApi({
      authenticator,
      leader,
      relay: {
        owner,
        leader,
        releases,
        endpointClient,
        validity,
        maxAttempts: settings.routing.maxAttempts,
        tryRetry: () => this.tryRetry(),
        log: logger,
      },
      maxBodyBytes: settings.http.maxBodyBytes,
      admission: new RequestAdmission({
        maxHeld: computeInstanceLimit({
          cores: availableParallelism(),
          memoryMib: totalmem() / BYTES_PER_MIB,
        }),
        maxTeamShare: MAX_TEAM_SHARE,
      }),
      onFreshRequest: () => this.retries.recordRequest(),
    }).register(router);
    new EndpointApi({ authenticator, leader, validity }).register(router);
    new OperatorApi({
      authenticator,
      leader,
      instances: settings.peering.peers.map(({ id }) => id),
      drain: (instance) => this.drainer.drain(instance),
    }).register(router);
    new HealthApi({
      instanceId: settings.instance.id,
      readUnreadiness: () => this.readUnreadiness(),
      readMetrics: () => this.readMetrics(),
    }).register(router);
    return router;
  }

  private tryRetry(): boolean {
    const isWithinBudget = this.retries.tryAcquire();
    this.metrics.countRetry(isWithinBudget ? 'attempted' : 'over-budget');
    return isWithinBudget;
  }

  private async readMetrics(): Promise<{ contentType: string; text: string }> {
    this.metrics.setInFlight(this.server.activeCalls);
    this.metrics.setConfigNumber(this.validity.config.number);
    this.peerTraffic.update(this.network.traffic);
    return { contentType: this.metrics.contentType, text: await this.metrics.render() };
  }

  private readUnreadiness(): string | undefined {
    if (this.isDraining) return 'the instance is draining';
    return this.validity.isValid() ? undefined : 'the instance has no contact with a valid leader';
  }
}
