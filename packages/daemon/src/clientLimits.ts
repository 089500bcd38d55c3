import { getHeapStatistics } from 'node:v8';

import { DEFAULT_LISTENER_LIMITS, type ListenerLimits } from '@lagoongap/gateway/listenerLimits.js';
import type { DaemonSettings } from '@lagoongap/settings/daemonSettings.js';

/** Fractions of the heap limit of the process, which Node.js derives from the memory. */
const REQUEST_FRACTION = 0.25;
const UNREAD_FRACTION = 0.125;
const JOB_FRACTION = 0.25;

/** Limits of the HTTP listener on its clients. */
export interface DaemonClientLimits {
  limits: ListenerLimits;
  /** Maximum bytes of all requests in progress. */
  maxRequestBytes: number;
}

/** Returns the default limit on the memory of all jobs in bytes. */
export function computeJobBytes(): number {
  return Math.floor(getHeapStatistics().heap_size_limit * JOB_FRACTION);
}

/** Returns the limits of the settings; those on memory derive from the heap limit by default. */
export function resolveClientLimits(http: DaemonSettings['http']): DaemonClientLimits {
  const heapBytes = getHeapStatistics().heap_size_limit;
  const { maxConnections, maxPipelinedRequests, maxHeaderBytes, maxHeaders } = http;
  const { headerTimeoutMs, idleTimeoutMs } = http;
  return {
    limits: {
      ...DEFAULT_LISTENER_LIMITS,
      maxConnections,
      maxPipelinedRequests,
      maxHeaderBytes,
      maxHeaders,
      headerTimeoutMs,
      idleTimeoutMs,
      maxUnreadBytes: http.maxUnreadBytes ?? Math.floor(heapBytes * UNREAD_FRACTION),
    },
    maxRequestBytes: http.maxRequestBytes ?? Math.floor(heapBytes * REQUEST_FRACTION),
  };
}
