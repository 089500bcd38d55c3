// Small HTTP helpers for stand-ins.
import { createServer, request } from 'node:http';

/** Serves JSON; `handle` resolves with [status, body], or with undefined to leave the call open. */
export function serveJson(host, handle) {
  const server = createServer((req, res) => {
    const chunks = [];
    req.on('data', (chunk) => chunks.push(chunk));
    req.on('error', () => {});
    res.on('error', () => {});
    req.on('end', async () => {
      let body;
      try {
        body = chunks.length > 0 ? JSON.parse(Buffer.concat(chunks).toString('utf8')) : undefined;
      } catch {
        res.writeHead(400).end();
        return;
      }
      const answer = await handle(req, body);
      if (!answer || res.destroyed) return;
      const text = JSON.stringify(answer[1] ?? {});
      res.writeHead(answer[0], {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
      });
      res.end(text);
    });
  });
  server.keepAliveTimeout = 60_000;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, () => resolve(server));
  });
}

/** Sends one call; resolves with `{ status, body }`, or with undefined if there is no response. */
export function callJson(address, { method, path, headers = {}, body, timeoutMs, agent }) {
  const [host, port] = address.split(':');
  const text = body === undefined ? undefined : JSON.stringify(body);
  return new Promise((resolve) => {
    const req = request(
      {
        host,
        port: Number(port),
        method,
        path,
        agent,
        headers: {
          ...headers,
          ...(text === undefined
            ? {}
            : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }),
        },
      },
      (res) => {
        const chunks = [];
        res.on('data', (chunk) => chunks.push(chunk));
        res.on('error', () => resolve(undefined));
        res.on('end', () => {
          let parsed;
          try {
            parsed = JSON.parse(Buffer.concat(chunks).toString('utf8'));
          } catch {
            parsed = undefined;
          }
          resolve({ status: res.statusCode, body: parsed });
        });
      },
    );
    req.setTimeout(timeoutMs, () => req.destroy());
    req.on('error', () => resolve(undefined));
    req.on('close', () => resolve(undefined));
    req.end(text);
  });
}
