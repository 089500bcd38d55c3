/** Modulus and multiplier of the Lehmer generator by Park and Miller. */
const MODULUS = 2_147_483_647;
const MULTIPLIER = 48_271;

/** Numbers that are dropped first, because those of neighbouring seeds are alike. */
const WARM_UP = 16;

/**
 * Returns a generator of numbers in [0, 1) that is reproducible by its seed, an integer. It is
 * meant for jitter and measurements, not for secrets.
 */
export function createSeededRandom(seed: number): () => number {
  let state = 1 + (Math.abs(Math.trunc(seed)) % (MODULUS - 1));
  const next = () => {
    state = (state * MULTIPLIER) % MODULUS;
    return (state - 1) / (MODULUS - 1);
  };
  for (let i = 0; i < WARM_UP; i++) next();
  return next;
}
