/** Processing steps of the system at which faults are injected. */
export const STEPS = [
  'accept',
  'authenticate',
  'enqueue',
  'decide',
  'commit',
  'dispatch',
  'start',
  'renew',
  'answer',
  'acknowledge',
  'release',
  'cancel',
  'publish a note',
  'spread a note',
  'join',
  'catch up',
  'promote',
  'install a snapshot',
  'drain',
] as const;

/** Name of a processing step. */
export type Step = (typeof STEPS)[number];

/** Participants of a step that is about to be performed. */
export interface StepContext {
  /** Instance that performs the step. */
  instance: string;
  /** Other instance or endpoint that takes part. */
  peer?: string;
}

/** Calls one armed listener when its step is performed for the n-th time. */
export class StepHooks {
  private armed: { step: Step; skip: number; listener: (context: StepContext) => void } | undefined;
  private hasFired = false;

  /** Whether the armed step has been reached. */
  get fired(): boolean {
    return this.hasFired;
  }

  /** Arms `listener` to be called once, after `skip` earlier occurrences of the step. */
  arm(step: Step, skip: number, listener: (context: StepContext) => void): void {
    this.armed = { step, skip, listener };
  }

  /** Reports that a step is about to be performed. */
  reportStep(step: Step, context: StepContext): void {
    const { armed } = this;
    if (armed?.step !== step) return;
    if (armed.skip > 0) {
      armed.skip -= 1;
      return;
    }
    this.armed = undefined;
    this.hasFired = true;
    armed.listener(context);
  }
}
