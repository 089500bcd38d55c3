/** Protocol rule that a history violates. */
export type BrokenRule =
  | 'election safety'
  | 'log matching'
  | 'committed entries persist'
  | 'state machine safety'
  | 'one valid leader'
  | 'predecessor end'
  | 'lost replica sends nothing'
  | 'liveness'
  | 'core error';

/** Thrown if a history violates a protocol rule. */
export class RuleViolation extends Error {
  constructor(
    readonly rule: BrokenRule,
    details: string,
  ) {
    super(`${rule}: ${details}`);
  }
}
