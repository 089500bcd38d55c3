import { RuleViolation } from './ruleViolation.js';
import { Simulation } from './simulation.js';
import type { SimulationOptions } from './simulationOptions.js';

/** Rule violation with the seed that reproduces it. */
export interface Finding {
  seed: number;
  violation: RuleViolation;
}

/** Runs schedules with consecutive seeds; returns the first rule violation. */
export function runSchedules(
  options: SimulationOptions,
  count: number,
  firstSeed: number,
): Finding | undefined {
  for (let seed = firstSeed; seed < firstSeed + count; seed += 1) {
    try {
      new Simulation(seed, options).run();
    } catch (violation) {
      if (violation instanceof RuleViolation) return { seed, violation };
      throw violation;
    }
  }
  return undefined;
}
