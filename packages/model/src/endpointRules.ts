import type { ClusterConfig, EndpointRule } from './clusterConfig.js';
import type { EndpointAnnouncement } from './endpoint.js';

function matches(rule: EndpointRule, endpoint: EndpointAnnouncement): boolean {
  const { kind, dataCentre, rack, idPrefix } = rule.match;
  return (
    (kind === undefined || kind === endpoint.kind) &&
    (dataCentre === undefined || dataCentre === endpoint.dataCentre) &&
    (rack === undefined || rack === endpoint.rack) &&
    (idPrefix === undefined || endpoint.id.startsWith(idPrefix))
  );
}

/**
 * Returns the kinds of work that may be placed on an endpoint: those that it offers and that at
 * least one rule in force grants to it.
 */
export function resolveWorks(config: ClusterConfig, endpoint: EndpointAnnouncement): Set<string> {
  const granted = new Set<string>();
  for (const rule of Object.values(config.endpointRules)) {
    if (!matches(rule, endpoint)) continue;
    for (const work of rule.works) granted.add(work);
  }
  return new Set(endpoint.works.filter((work) => granted.has(work)));
}
