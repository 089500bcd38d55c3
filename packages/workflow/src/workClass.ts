import type { StepSpec } from './jobSpec.js';

/** Work whose duration is learned. */
export interface WorkDescription {
  queue: string;
  organisation: string;
  spec: StepSpec;
}

/** Names of the classes that a step belongs to, the most general first. */
export type WorkClassNames = [all: string, queue: string, work: string];

/** Separates the parts of a name; a name of a queue or an organisation cannot contain it. */
const SEPARATOR = '\n';

/** Returns the size of a task rounded to a power of two, as sizes vary from job to job. */
function describeShape({ size: { cpuMillis, accelerators }, isGang }: StepSpec): string {
  const level = Math.round(Math.log2(Math.max(1, cpuMillis)));
  return `${level}/${accelerators}${isGang ? '/gang' : ''}`;
}

/**
 * Returns the classes of a step. Steps without an estimate have classes of their own, as the mean of
 * the others depends on their estimates.
 */
export function nameWorkClasses({ queue, organisation, spec }: WorkDescription): WorkClassNames {
  const mark = spec.estimateMs > 0 ? '' : '?';
  const kind = spec.image === '' ? describeShape(spec) : spec.image;
  return [mark, `${mark}${queue}`, [`${mark}${queue}`, organisation, kind].join(SEPARATOR)];
}
