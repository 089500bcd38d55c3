/** Returns a source of normally distributed numbers of mean 0 and deviation 1 (Box-Muller). */
export function createNormal(random: () => number): () => number {
  return () => Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
}
