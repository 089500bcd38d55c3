import { AdviceAdmission } from './adviceAdmission.js';
import { AdviceBroker } from './adviceBroker.js';
import type { SessionContext } from './sessionContext.js';

/** Creates the broker of a leadership; without `advice-scheduling` long calls are not bounded. */
export function createAdviceBroker({ features, fencingToken }: SessionContext): AdviceBroker {
  const isBounded = features.has('advice-scheduling');
  return new AdviceBroker(fencingToken, isBounded ? new AdviceAdmission() : undefined);
}
