import { sendJson } from './httpResponse.js';
import type { HttpRouter, RoutedCall } from './httpRouter.js';

/** Options of {@link HealthApi}. */
export interface HealthApiOptions {
  instanceId: string;
  /** Returns why the instance is not ready, or undefined if it is ready. */
  readUnreadiness: () => string | undefined;
  /** Returns all metrics in the Prometheus text format. */
  readMetrics: () => Promise<{ contentType: string; text: string }>;
}

/** HTTP API for load balancers and monitoring; no key is required. */
export class HealthApi {
  private readonly opts: HealthApiOptions;

  constructor(opts: HealthApiOptions) {
    this.opts = opts;
  }

  register(router: HttpRouter): void {
    router.add('GET', '/healthz', ({ res }) => {
      sendJson(res, 200, { instance: this.opts.instanceId, state: 'alive' });
    });
    router.add('GET', '/readyz', (call) => this.sendReadiness(call));
    router.add('GET', '/metrics', (call) => this.sendMetrics(call));
  }

  private sendReadiness({ res }: RoutedCall): void {
    const reason = this.opts.readUnreadiness();
    const { instanceId } = this.opts;
    if (reason === undefined) sendJson(res, 200, { instance: instanceId, state: 'ready' });
    else sendJson(res, 503, { instance: instanceId, state: 'not-ready', reason });
  }

  private async sendMetrics({ res }: RoutedCall): Promise<void> {
    const { contentType, text } = await this.opts.readMetrics();
    res.writeHead(200, { 'content-type': contentType });
    res.end(text);
  }
}
