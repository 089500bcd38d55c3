import type { ClusterConfig } from '@lagoongap/model/clusterConfig.js';
import { addResources } from '@lagoongap/model/resources.js';
import { FairShareScheduler } from '@lagoongap/scheduling/fairShareScheduler.js';
import type { Decision, EndpointView, PlaceDecision } from '@lagoongap/scheduling/scheduler.js';

/** Rule that a mutant scheduler breaks. */
export type BrokenRule = 'capacity' | 'limit' | 'grant' | 'gang' | 'repeat' | 'starvation';

function copyPlacement(place: PlaceDecision): PlaceDecision {
  const attempts = place.attempts.map((attempt) => ({ ...attempt, id: `${attempt.id}.copy` }));
  return { ...place, attempts };
}

/** Scheduler that breaks one rule, to verify that the checkers detect it. */
export class MutantScheduler extends FairShareScheduler {
  constructor(
    private readonly rule: BrokenRule,
    random: () => number,
  ) {
    super(random);
  }

  override upsertEndpoint(view: EndpointView): void {
    const size = this.rule === 'capacity' ? addResources(view.size, view.size) : view.size;
    super.upsertEndpoint({ ...view, size });
  }

  override setConfiguration(config: ClusterConfig): void {
    const { teams, endpointRules } = structuredClone(config);
    if (this.rule === 'limit') for (const team of Object.values(teams)) team.limit = {};
    if (this.rule === 'grant') {
      for (const rule of Object.values(endpointRules)) rule.works = ['curves', 'index', 'preview'];
    }
    super.setConfiguration({ ...config, teams, endpointRules });
  }

  override decide(nowMs: number, maxPlacements: number): Decision[] {
    // With a constant time no deadline expires, no grace period ends and no wait becomes too long.
    const decisions = super.decide(this.rule === 'starvation' ? 0 : nowMs, maxPlacements);
    const placements = decisions.filter((decision) => decision.type === 'place');
    if (this.rule === 'gang') {
      for (const { unit, attempts } of placements) if (unit.kind === 'gang') attempts.pop();
    }
    if (this.rule === 'repeat') decisions.push(...placements.map(copyPlacement));
    return decisions;
  }
}
