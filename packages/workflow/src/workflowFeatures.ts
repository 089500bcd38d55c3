/** Optional parts of the workflow layer that an operator may switch off. */
export const WORKFLOW_FEATURES = [
  /** Queries to the advisor are chosen when an instance can send them, the most urgent first. */
  'advice-scheduling',
  /** Task durations are learned from finished runs, and used to order and place work. */
  'learned-durations',
  /** Runs that write checkpoints are stopped for urgent work that would be late otherwise. */
  'preemption',
  /** Endpoints that report a warm-up get work gradually. */
  'warm-up',
] as const;

/** Name of an optional part. */
export type WorkflowFeature = (typeof WORKFLOW_FEATURES)[number];

/** Features in use; by default all of them. */
export type WorkflowFeatures = ReadonlySet<WorkflowFeature>;

export const DEFAULT_WORKFLOW_FEATURES: WorkflowFeatures = new Set(WORKFLOW_FEATURES);
