/** Parameters of the Lehmer random number generator by Park and Miller. */
const MODULUS = 2_147_483_647;
const MULTIPLIER = 48_271;

/** Initial numbers to discard, because adjacent seeds produce similar first numbers. */
const DISCARDED_COUNT = 16;

/**
 * Returns a deterministic generator of numbers in [0, 1) for an integer seed. It is suitable for
 * jitter and benchmarks, but not for secrets.
 */
export function createSeededRandom(seed: number): () => number {
  let state = 1 + (Math.abs(Math.trunc(seed)) % (MODULUS - 1));
  const next = () => {
    state = (state * MULTIPLIER) % MODULUS;
    return (state - 1) / (MODULUS - 1);
  };
  for (let i = 0; i < DISCARDED_COUNT; i++) next();
  return next;
}
