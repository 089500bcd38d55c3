/** Kind of a metric. */
export type MetricType = 'counter' | 'gauge' | 'histogram';

/** Definition of a metric, from which the registry is built. */
export interface MetricDefinition {
  name: string;
  type: MetricType;
  labels: readonly string[];
  help: string;
  /** Upper bounds of the buckets of a histogram, in seconds. */
  buckets?: readonly number[];
}

/** Waiting times range from milliseconds on an idle cluster to hours on a full one. */
const WAIT_BUCKETS_SECONDS = [
  0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.1, 5, 10, 30, 60, 300, 1800, 7200,
];

/** The target for the 99th percentile of the decision time is 5 ms. */
const DECISION_BUCKETS_SECONDS = [
  0.0001, 0.00025, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5,
];

/** A commit takes one disk sync and one round trip; an election delays it by about a second. */
const COMMIT_BUCKETS_SECONDS = [
  0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5,
];

/** All metrics of lagoongap, by accessor name. */
export const METRIC_DEFINITIONS = {
  waiting: {
    name: 'lagoongap_waiting_seconds',
    type: 'histogram',
    labels: ['kind'],
    help: 'Time from acceptance of a unit of work to its placement',
    buckets: WAIT_BUCKETS_SECONDS,
  },
  waitingUnits: {
    name: 'lagoongap_waiting_units',
    type: 'gauge',
    labels: ['kind'],
    help: 'Units of work that wait for a placement',
  },
  decision: {
    name: 'lagoongap_decision_seconds',
    type: 'histogram',
    labels: [],
    help: 'Time of one scheduling turn without its commit',
    buckets: DECISION_BUCKETS_SECONDS,
  },
  placements: {
    name: 'lagoongap_placements_total',
    type: 'counter',
    labels: ['kind'],
    help: 'Attempts placed on an endpoint',
  },
  crashLosses: {
    name: 'lagoongap_crash_losses_total',
    type: 'counter',
    labels: ['kind'],
    help: 'Attempts lost because their endpoint crashed',
  },
  crashBounds: {
    name: 'lagoongap_crash_bounds_total',
    type: 'counter',
    labels: ['kind'],
    help: 'Tasks, gangs and requests that are not started again because their endpoints crashed',
  },
  preemptions: {
    name: 'lagoongap_preemptions_total',
    type: 'counter',
    labels: ['action'],
    help: 'Running attempts that were checkpointed, throttled or stopped by the scheduler',
  },
  refusals: {
    name: 'lagoongap_refusals_total',
    type: 'counter',
    labels: ['type'],
    help: 'Refusals sent to callers, endpoints and operators',
  },
  clientLimits: {
    name: 'lagoongap_client_limits_total',
    type: 'counter',
    labels: ['limit'],
    help: 'Requests and connections of clients that a limit has refused or closed',
  },
  teamRunning: {
    name: 'lagoongap_team_running',
    type: 'gauge',
    labels: ['team', 'resource'],
    help: 'Amount reserved for running work of a team',
  },
  teamLimit: {
    name: 'lagoongap_team_limit',
    type: 'gauge',
    labels: ['team', 'resource'],
    help: 'Upper limit of a team; absent where the team has none',
  },
  teamShare: {
    name: 'lagoongap_team_share_ratio',
    type: 'gauge',
    labels: ['team'],
    help: 'Part of the cluster that the share of a team entitles it to when the cluster is full',
  },
  teamUsedShare: {
    name: 'lagoongap_team_used_share_ratio',
    type: 'gauge',
    labels: ['team'],
    help: 'Dominant part of the cluster that is reserved for a team',
  },
  packing: {
    name: 'lagoongap_packing_ratio',
    type: 'gauge',
    labels: ['resource'],
    help: 'Reserved amount as a part of the size of all ready endpoints',
  },
  endpoints: {
    name: 'lagoongap_endpoints',
    type: 'gauge',
    labels: ['state'],
    help: 'Known endpoints',
  },
  ejections: {
    name: 'lagoongap_ejections_total',
    type: 'counter',
    labels: [],
    help: 'Endpoints taken out of use after consecutive failures',
  },
  ejected: {
    name: 'lagoongap_ejected_endpoints',
    type: 'gauge',
    labels: [],
    help: 'Endpoints that are out of use at present',
  },
  retries: {
    name: 'lagoongap_retries_total',
    type: 'counter',
    labels: ['result'],
    help: 'Requests attempted again on another endpoint, or not for want of retry budget',
  },
  inFlight: {
    name: 'lagoongap_requests_in_flight',
    type: 'gauge',
    labels: [],
    help: 'Requests that this gateway has accepted and not answered in full',
  },
  gatewayValidity: {
    name: 'lagoongap_gateway_validity_remaining_seconds',
    type: 'gauge',
    labels: [],
    help: 'Time until this gateway refuses callers unless a poll succeeds; 0 when it does so',
  },
  leaderValidity: {
    name: 'lagoongap_leader_validity_remaining_seconds',
    type: 'gauge',
    labels: [],
    help: 'Time until this leader stops deciding unless a quorum answers; 0 on other instances',
  },
  configNumber: {
    name: 'lagoongap_config_number',
    type: 'gauge',
    labels: [],
    help: 'Number of the release note in force on this instance',
  },
  commits: {
    name: 'lagoongap_commits_total',
    type: 'counter',
    labels: [],
    help: 'Log entries committed while this instance was the leader',
  },
  commit: {
    name: 'lagoongap_commit_seconds',
    type: 'histogram',
    labels: [],
    help: 'Time from proposal to commit of a log entry',
    buckets: COMMIT_BUCKETS_SECONDS,
  },
  peerMessages: {
    name: 'lagoongap_peer_messages_total',
    type: 'counter',
    labels: ['direction', 'method'],
    help: 'Messages exchanged with other instances',
  },
  peerBytes: {
    name: 'lagoongap_peer_bytes_total',
    type: 'counter',
    labels: ['direction'],
    help: 'Bytes exchanged with other instances',
  },
  control: {
    name: 'lagoongap_control_seconds_total',
    type: 'counter',
    labels: ['activity'],
    help: 'Processor time spent on control rather than on relaying requests',
  },
} as const satisfies Record<string, MetricDefinition>;

/** Accessor name of a metric. */
export type MetricName = keyof typeof METRIC_DEFINITIONS;
