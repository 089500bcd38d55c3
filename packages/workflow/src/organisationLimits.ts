import type { Resources } from '@lagoongap/model/resources.js';

import type { CellConfig } from './cellConfig.js';
import type { ReadyStep } from './readySteps.js';
import type { RunLedger } from './runLedger.js';

const LIMITED_RESOURCES = ['cpuMillis', 'memoryMib', 'accelerators'] as const;

/**
 * Returns how many more tasks of a step the limit of its organisation admits; Infinity without a
 * limit.
 *
 * @param expected - Resources that other steps of the organisation are about to use.
 */
export function countAdmitted(
  { job: { organisation }, spec: { size } }: ReadyStep,
  config: CellConfig | undefined,
  ledger: RunLedger,
  expected?: Resources,
): number {
  const limit = config?.organisations.find(({ name }) => name === organisation)?.limit;
  if (!limit) return Infinity;
  const used = ledger.usedBy(organisation);
  let admitted = Infinity;
  for (const name of LIMITED_RESOURCES) {
    const free = limit[name] - used[name] - (expected?.[name] ?? 0);
    // 0 means no limit.
    if (limit[name] > 0 && size[name] > 0) admitted = Math.min(admitted, free / size[name]);
    else if (limit[name] > 0 && free < 0) admitted = 0;
  }
  return Math.max(0, Math.floor(admitted));
}
