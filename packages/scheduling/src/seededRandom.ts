// Multiplier and modulus of the "minimal standard" generator of Park and Miller, revised 1993.
const MULTIPLIER = 48_271;
const MODULUS = 2_147_483_647;

/**
 * Returns a source of repeatable random numbers from 0 up to, but not including, 1.
 *
 * @param seed - Any integer.
 */
export function createSeededRandom(seed: number): () => number {
  let state = (Math.abs(Math.trunc(seed)) % (MODULUS - 1)) + 1;
  return () => {
    state = (state * MULTIPLIER) % MODULUS;
    return (state - 1) / (MODULUS - 1);
  };
}
