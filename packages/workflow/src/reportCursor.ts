import type { EndReport } from './endpointDriver.js';

/** Tracks which reports of the present incarnation of an endpoint have been processed. */
export class ReportCursor {
  /** The latest response listed reports, which are repeated until they are acknowledged. */
  hasUnacknowledged = false;
  private processedNumber = 0;
  /** Monotonic time at which the last inspection with a response was sent. */
  private answeredSentMs = -Infinity;
  /** Monotonic time at which the endpoint may last have restarted unnoticed. */
  private doubtedMs = -Infinity;

  /**
   * Number up to which the next inspection acknowledges reports. An endpoint that has restarted
   * would take the number for that of reports that nobody has read.
   */
  get acknowledgeable(): number {
    return this.answeredSentMs > this.doubtedMs ? this.processedNumber : 0;
  }

  /** Records a response of the present incarnation to an inspection sent at `sentMs`. */
  recordResponse(sentMs: number): void {
    this.answeredSentMs = sentMs;
  }

  /** Acknowledges nothing until the present incarnation has responded again. */
  doubt(): void {
    this.doubtedMs = performance.now();
  }

  /** Returns the reports that have not been processed. */
  listNew(reports: EndReport[]): EndReport[] {
    return reports.filter(({ number }) => number > this.processedNumber);
  }

  /** Records that all reports of a response have been processed. */
  recordProcessed(reports: EndReport[]): void {
    this.hasUnacknowledged = reports.length > 0;
    for (const { number } of reports) {
      this.processedNumber = Math.max(this.processedNumber, number);
    }
  }

  /** Begins with the reports of the next incarnation, which are numbered anew. */
  reset(): void {
    this.processedNumber = 0;
    this.answeredSentMs = -Infinity;
    this.hasUnacknowledged = false;
  }
}
