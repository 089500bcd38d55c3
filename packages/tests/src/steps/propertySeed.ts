import fc from 'fast-check';

/** Default seed of property tests, which makes the results of CI runs reproducible. */
const DEFAULT_SEED = 20_261_204;

fc.configureGlobal({ seed: DEFAULT_SEED });
