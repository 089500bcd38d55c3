/** A rule of the protocol that a history has broken. */
export type BrokenRule =
  | 'one leader a term'
  | 'log matching'
  | 'committed entries stay'
  | 'same order everywhere'
  | 'one valid leader'
  | 'lost replica is silent'
  | 'liveness'
  | 'core error';

/** Reports a broken rule. */
export class RuleViolation extends Error {
  constructor(
    readonly rule: BrokenRule,
    details: string,
  ) {
    super(`${rule}: ${details}`);
  }
}
