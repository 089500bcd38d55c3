/** Role of a daemon; every daemon is a gateway, those with a disk may also be replicas. */
export type DaemonRole = 'gateway' | 'replica';

/** Address of another instance of the system. */
export interface PeerSettings {
  id: string;
  /** IP address. */
  host: string;
  port: number;
  dataCentre: string;
  roles: DaemonRole[];
}

/** Certificate files in PEM format, reloaded when they change. */
export interface TlsSettings {
  certFile: string;
  keyFile: string;
  /** Authorities that clients and peers must be signed by. */
  caFile?: string;
}

/** Settings of `lagoongapd`, checked in full. All durations are in milliseconds. */
export interface DaemonSettings {
  instance: { id: string; dataCentre: string; roles: DaemonRole[] };
  http: {
    host: string;
    port: number;
    /** Largest accepted request body in bytes. */
    maxBodyBytes: number;
    tls?: TlsSettings;
    /** Permits a listener without TLS on an address other than loopback. */
    allowPlaintext: boolean;
  };
  peering: {
    host: string;
    port: number;
    tls?: TlsSettings;
    allowPlaintext: boolean;
    /** All instances of the system, this one included. */
    peers: PeerSettings[];
  };
  /** Present on replicas. */
  storage?: {
    dataFolder: string;
    /** Creates the cluster with all replicas among the peers as voters. */
    bootstrap: boolean;
    /** Number of log entries after which a snapshot is taken. */
    snapshotEntries: number;
  };
  /** SHA-256 of operator keys that hold before the first release note. */
  bootstrapOperatorKeyHashes: string[];
  timing: {
    heartbeatMs: number;
    electionMinMs: number;
    electionMaxMs: number;
    leaderValidityMs: number;
    gatewayPollMs: number;
    gatewayValidityMs: number;
    endpointHeartbeatMs: number;
    endpointLeaseMs: number;
    /** Time between readiness going false and refusing new connections. */
    drainDelayMs: number;
    /** Longest wait for accepted requests to finish. */
    drainTimeoutMs: number;
  };
  scheduling: {
    policy: 'fair-share' | 'first-fit';
    /** Half-life of past usage in fair shares. */
    usageHalfLifeMs: number;
    /** Trades the safety margin of learned sizes for packing: 0 is most cautious, 1 packs most. */
    packingWeight: number;
    /** Lets a team over its share be preempted for one under its share. */
    preemption: boolean;
    /** Most attempts decided in one turn; 1 also commits every command by itself, for comparison. */
    maxBatch: number;
  };
  routing: {
    retryBudget: number;
    maxAttempts: number;
    ejectionFailures: number;
    ejectionBaseMs: number;
    ejectionMaxMs: number;
    maxEjectedShare: number;
  };
  log: { level: 'debug' | 'info' | 'warn' | 'error'; format: 'json' | 'pretty' };
}
