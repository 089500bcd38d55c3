/** Role of a daemon. Every daemon is a gateway; a daemon with a disk may also be a replica. */
export type DaemonRole = 'gateway' | 'replica';

/** Address and roles of an instance of the system. */
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
  /** Certificate authorities that must have signed the certificates of clients and peers. */
  caFile?: string;
}

/** Validated settings of `lagoongapd`. All durations are in milliseconds. */
export interface DaemonSettings {
  instance: { id: string; dataCentre: string; roles: DaemonRole[] };
  http: {
    host: string;
    port: number;
    /** Maximum size of a request body in bytes. */
    maxBodyBytes: number;
    /** Maximum number of open connections; the one that is idle for longest is closed for a new one. */
    maxConnections: number;
    /** Maximum bytes of all requests in progress; a fraction of the heap limit by default. */
    maxRequestBytes?: number;
    /** Maximum response bytes that clients leave unread; a fraction of the heap limit by default. */
    maxUnreadBytes?: number;
    /** Maximum number of requests that a connection may send ahead of their responses. */
    maxPipelinedRequests: number;
    /** Maximum size of the request line and the headers. */
    maxHeaderBytes: number;
    maxHeaders: number;
    /** Time in which the headers of a request must be complete. */
    headerTimeoutMs: number;
    /** Longer than a load balancer's idle timeout, so that the balancer closes idle connections. */
    idleTimeoutMs: number;
    tls?: TlsSettings;
    /** Allows a listener without TLS on an address other than loopback. */
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
    /** Bootstraps the cluster with all replicas among the peers as voters. */
    bootstrap: boolean;
    /** Number of log entries after which a snapshot is taken. */
    snapshotEntries: number;
  };
  /** SHA-256 hashes of the operator keys that are valid before the first release note. */
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
    /** Time between reporting the instance as not ready and refusing new connections. */
    drainDelayMs: number;
    /** Maximum time to wait for accepted requests to finish. */
    drainTimeoutMs: number;
  };
  scheduling: {
    policy: 'fair-share' | 'first-fit';
    /** Half-life with which past usage decays in the fair-share calculation. */
    usageHalfLifeMs: number;
    /** Trades the safety margin of size estimates for packing density: 0 is safest, 1 densest. */
    packingWeight: number;
    /** Allows preempting work of a team over its share for a team under its share. */
    preemption: boolean;
    /** Maximum attempts per scheduling cycle; 1 also commits each command alone, as a baseline. */
    maxBatch: number;
    /** Limit on the estimated memory of all jobs in bytes; by default from the heap limit. */
    maxJobBytes?: number;
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
