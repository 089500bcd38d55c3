/** Settings file of an instance with a disk. */
export const SETTINGS = `
node_name = "core-1"
ip = "10.1.0.20"
zone = "z-a"
port_range = [7420, 7435]
seeds = ["10.1.0.20:8180", "10.2.0.18:8180", "10.3.0.39:8180"]
bootstrap = true
data_dir = "/data/my-core"
heartbeat_ms = 1500
advice = "10.200.1.9:8182"
something_new = 3
[listen]
control = "10.1.0.20:8180"
[zones]
z-a = "east"
z-b = "east"
"z.c" = "west"
[bounds]
grace_s = 6
max_hold_ms = 6000
status_s = 120
[cloud_api]
address = "10.200.0.47:8182"
`;

/** Returns a configuration document with two queues and one organisation. */
export function createConfig(version: number): Record<string, any> {
  return {
    version,
    routes: [
      {
        name: 'first',
        host: 'jobs.example',
        path_prefix: '/first/',
        service: 'svc',
        timeout_ms: 3000,
        priority: 0,
        max_attempts: 3,
        advice: { decide_ms: 5, each_ms: 1, valid_ms: 2500 },
      },
      {
        name: 'second',
        host: 'jobs.example',
        path_prefix: '/second/',
        service: 'svc',
        timeout_ms: 3000,
        priority: 2,
        max_attempts: 4,
        advice: { decide_ms: 5, each_ms: 1, valid_ms: 2500 },
      },
    ],
    services: [{ name: 'svc' }],
    tenants: [{ name: 'team', api_keys: ['key-1', 'key-2'], weight: 1, max_count: { cpu: 0 } }],
  };
}

/** Returns the body of a submission with two steps. */
export function createJob(): Record<string, any> {
  return {
    task_spec: 'text',
    steps: [
      { count: 4, cpu: 500, mem_mb: 256, estimate_ms: 900 },
      { count: 20, cpu: 2000, mem_mb: 1024, start_after: [0], checkpointing: true },
    ],
  };
}

/** Returns the heartbeat document of an endpoint. */
export function createHeartbeat(address: string): Record<string, any> {
  return {
    service: 'svc',
    address,
    zone: 'z-a',
    state: 'ready',
    seq: 1,
    born: 1_700_000_000_123,
    machine: `m-${address}`,
    capacity: { cpu: 16000, mem_mb: 32768 },
    labels: ['a', 'r1-3'],
    clock_ms: 10,
  };
}
