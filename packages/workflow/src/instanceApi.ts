/** Outcome of a maintenance request. */
export type MaintenanceOutcome =
  /** The instance goes down now, or already did for this wave. */
  | 'begun'
  /** The platform has received a request from a newer leader. */
  | 'fenced'
  /** The instance is down, being moved, or about to be removed. */
  | 'busy'
  /** The instance does not exist or is not part of the wave. */
  | 'refused'
  /** The leadership ended before the request was written. */
  | 'not-sent'
  /** No response, or rate limit exceeded; maintenance may have begun. */
  | 'unknown';

/** API for the instances on which endpoints run. */
export interface InstanceApi {
  beginMaintenance(order: {
    instance: string;
    wave: number;
    holder: string;
    fencingToken: number;
    /**
     * Returns whether the leadership is still valid. Checked directly before the request is written,
     * as some platforms do not compare fencing tokens.
     */
    isAllowed: () => boolean;
  }): Promise<MaintenanceOutcome>;
}

/** Used if the platform has no instance API; waves never advance then. */
export const NO_INSTANCE_API: InstanceApi = {
  async beginMaintenance() {
    return 'unknown';
  },
};
