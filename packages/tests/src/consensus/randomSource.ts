import fc from 'fast-check';

/** Exposes the random generator that fast-check seeds for a run. */
class SourceArbitrary extends fc.Arbitrary<fc.Random> {
  override generate(source: fc.Random): fc.Value<fc.Random> {
    return new fc.Value(source.clone(), undefined);
  }

  override canShrinkWithoutContext(value: unknown): value is fc.Random {
    return value instanceof fc.Random;
  }

  override shrink(): fc.Stream<fc.Value<fc.Random>> {
    return fc.Stream.nil();
  }
}

/** Returns fast-check's random generator for a seed. */
export function createRandomSource(seed: number): fc.Random {
  return fc.sample(new SourceArbitrary(), { seed, numRuns: 1 })[0]!;
}
