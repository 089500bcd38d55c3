import { createServer } from 'node:net';

/** Returns a port of the loopback address that is free at the moment. */
export async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as { port: number };
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}
