// The rules below are those that the project turns off for its own TypeScript.
/* eslint-disable import-x/prefer-default-export */
/* eslint-disable no-restricted-syntax */
import { connect, createServer } from 'node:net';

/**
 * TCP proxy for connections to one address. While it is cut one way, bytes in that direction wait
 * until it heals; bytes in the other direction pass on open connections, and new connections cannot
 * be established.
 */
export class Link {
  constructor(target) {
    this.target = target;
    this.pairs = new Set();
    this.held = new Set();
    /** Direction that is cut: `to-target` or `from-target`. */
    this.cut = undefined;
  }

  async start(host) {
    this.server = createServer((socket) => this.accept(socket));
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(0, host, resolve);
    });
    this.address = `${host}:${this.server.address().port}`;
  }

  setCut(direction) {
    this.cut = direction;
    if (direction !== undefined) {
      for (const pair of this.pairs) (direction === 'to-target' ? pair.near : pair.far).pause();
      return;
    }
    for (const { near, far } of this.pairs) {
      near.resume();
      far.resume();
    }
    for (const socket of this.held) this.open(socket);
    this.held.clear();
  }

  accept(socket) {
    socket.on('error', () => socket.destroy());
    socket.setNoDelay(true);
    if (this.cut === undefined) {
      this.open(socket);
      return;
    }
    this.held.add(socket);
    socket.on('close', () => this.held.delete(socket));
  }

  open(near) {
    if (near.destroyed) return;
    const [host, port] = this.target.split(':');
    const far = connect({ host, port: Number(port) });
    far.setNoDelay(true);
    const pair = { near, far };
    this.pairs.add(pair);
    const end = () => {
      this.pairs.delete(pair);
      near.destroy();
      far.destroy();
    };
    near.on('data', (chunk) => far.write(chunk));
    far.on('data', (chunk) => near.write(chunk));
    for (const socket of [near, far]) {
      socket.on('error', end);
      socket.on('close', end);
    }
  }

  async dispose() {
    this.server.close();
    for (const { near, far } of this.pairs) {
      near.destroy();
      far.destroy();
    }
    for (const socket of this.held) socket.destroy();
  }
}
