/** Heartbeat that another writer sends in the name of an endpoint. */
export interface OddHeartbeat {
  /** Whether the id is that of the sound endpoint; an unknown one otherwise. */
  hasKnownId: boolean;
  body: string | Buffer;
}

const NESTING_DEPTH = 10_000;
const UNREADABLE_BYTES = Buffer.from([0xff, 0xfe, 0x00, 0x80, 0x7b]);
const CLOSED_ADDRESS = '127.0.0.1:9';

/** Returns heartbeats of the kinds that no sound endpoint sends, derived from a sound one. */
export function createOddHeartbeats(sound: Record<string, any>): OddHeartbeat[] {
  const known = (fields: object): OddHeartbeat => ({
    hasKnownId: true,
    body: JSON.stringify({ ...sound, ...fields }),
  });
  const unknown = (fields: object): OddHeartbeat => ({
    hasKnownId: false,
    body: JSON.stringify({ ...sound, address: CLOSED_ADDRESS, machine: 'm-odd', ...fields }),
  });
  const nested = `${'['.repeat(NESTING_DEPTH)}${']'.repeat(NESTING_DEPTH)}`;
  return [
    { hasKnownId: true, body: UNREADABLE_BYTES },
    { hasKnownId: false, body: UNREADABLE_BYTES },
    { hasKnownId: true, body: '{' },
    { hasKnownId: false, body: JSON.stringify(sound).replace('}', `,"extra":${nested}}`) },
    known({ address: undefined }),
    known({ capacity: undefined }),
    known({ capacity: 'large' }),
    known({ state: 'asleep' }),
    known({ service: 7 }),
    known({ address: '127.0.0.1:99999' }),
    known({ seq: Number.MAX_SAFE_INTEGER }),
    known({ born: Number.MAX_SAFE_INTEGER - 1 }),
    known({ born: -1, seq: -1 }),
    known({ clock_ms: Number.MAX_SAFE_INTEGER }),
    unknown({}),
    unknown({ service: 'no-such-service' }),
    unknown({ capacity: { cpu: 1e300, mem_mb: 1e300 } }),
    unknown({ address: '127.0.0.1:0' }),
    unknown({ address: 'a b/../@c:80' }),
    unknown({ address: sound.address, born: Number.MAX_SAFE_INTEGER - 1 }),
    unknown({ machine: sound.machine, born: Number.MAX_SAFE_INTEGER - 1 }),
  ];
}
