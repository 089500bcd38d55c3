import type { PeerCounters } from '@lagoongap/peering/peerCounters.js';
import type { Metrics } from '@lagoongap/telemetry/metrics.js';

/** Exports the traffic counters of the peer network as metrics. */
export class PeerTrafficReporter {
  private readonly metrics: Metrics;
  private reported = { messagesIn: 0, messagesOut: 0, bytesIn: 0, bytesOut: 0 };

  constructor(metrics: Metrics) {
    this.metrics = metrics;
  }

  /** Adds the traffic since the previous call. */
  update(traffic: ReadonlyMap<string, Readonly<PeerCounters>>): void {
    const total = { messagesIn: 0, messagesOut: 0, bytesIn: 0, bytesOut: 0 };
    for (const counters of traffic.values()) {
      total.messagesIn += counters.messagesIn;
      total.messagesOut += counters.messagesOut;
      total.bytesIn += counters.bytesIn;
      total.bytesOut += counters.bytesOut;
    }
    const last = this.reported;
    this.metrics.addPeerTraffic(
      'sent',
      total.messagesOut - last.messagesOut,
      total.bytesOut - last.bytesOut,
    );
    this.metrics.addPeerTraffic(
      'received',
      total.messagesIn - last.messagesIn,
      total.bytesIn - last.bytesIn,
    );
    this.reported = total;
  }
}
