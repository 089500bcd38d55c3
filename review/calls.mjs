// The rules below are those that the project turns off for its own TypeScript.

import { request } from 'node:http';

/** Sends one call; resolves with status and body, rejects without a response. */
export function send({ address, method, path, headers = {}, body, timeoutMs, agent }) {
  return new Promise((resolve, reject) => {
    const [host, port] = address.split(':');
    const text = body === undefined ? undefined : JSON.stringify(body);
    const length = text === undefined ? {} : { 'content-length': Buffer.byteLength(text) };
    const req = request(
      {
        host,
        port,
        method,
        path,
        agent,
        headers: { 'content-type': 'application/json', ...length, ...headers },
      },
      (res) => {
        const chunks = [];
        res.on('data', (chunk) => chunks.push(chunk));
        res.on('error', reject);
        res.on('end', () => {
          const received = Buffer.concat(chunks).toString('utf8');
          let parsed;
          try {
            parsed = JSON.parse(received);
          } catch {
            parsed = undefined;
          }
          resolve({ status: res.statusCode, body: parsed, text: received });
        });
      },
    );
    req.setTimeout(timeoutMs, () => req.destroy(new Error(`no response in ${timeoutMs} ms`)));
    req.on('error', reject);
    req.end(text);
  });
}

/** Returns a configuration with one queue and its service. */
export function createConfig({ version, host, prefix, service, tenants, ...route }) {
  return {
    version,
    routes: [
      {
        name: 'r-review',
        host,
        path_prefix: prefix,
        kind: 'unsafe',
        timeout_ms: 3000,
        target_duration_ms: 1200,
        priority: 1,
        service,
        max_attempts: 4,
        stretch: 2.2,
        allow_anonymous: false,
        ...route,
      },
    ],
    services: [
      {
        name: service,
        health_path: '/health',
        max_conns: 64,
        protocol: 'h1',
        tls: false,
        admission_control: false,
        spare: false,
      },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 262_144,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    tenants: tenants.map((tenant) => ({
      priority: 1,
      weight: 1,
      max_count: { cpu: 0, mem_mb: 0, gpu: 0 },
      ...tenant,
    })),
  };
}
