/** What became of a call for maintenance. */
export type MaintenanceOutcome =
  /** The instance goes down now, or has done so for this wave. */
  | 'begun'
  /** A newer leader has given orders for the instance. */
  | 'fenced'
  /** The instance is down, moving, or about to leave. */
  | 'busy'
  /** The instance does not exist or is not part of the wave. */
  | 'refused'
  /** No answer, or too many calls; it may have begun. */
  | 'unknown';

/** Orders for the instances that endpoints run on. */
export interface InstanceApi {
  beginMaintenance(order: {
    instance: string;
    wave: number;
    holder: string;
    fencingToken: number;
  }): Promise<MaintenanceOutcome>;
}

/** Stands in where the platform has no such API; waves then never advance. */
export const NO_INSTANCE_API: InstanceApi = {
  async beginMaintenance() {
    return 'unknown';
  },
};
