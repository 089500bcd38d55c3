import type { IncomingMessage, ServerResponse } from 'node:http';

/** A call with the parameters of its URL. */
export interface RoutedCall {
  req: IncomingMessage;
  res: ServerResponse;
  /** Values of the `{name}` segments of the path. */
  params: Record<string, string>;
  query: URLSearchParams;
}

/** Handles a call; a rejection is sent as a refusal. */
export type CallHandler = (call: RoutedCall) => Promise<void> | void;

/** Options of a route. */
export interface RouteOptions {
  /** Calls whose clients have left before they are handled have no effect; false by default. */
  dropsAbandoned?: boolean;
}

interface Route {
  method: string;
  pattern: RegExp;
  handler: CallHandler;
  opts: RouteOptions;
}

/** Result of matching a call against the routes. */
export type RouteMatch =
  | {
      status: 'found';
      handler: CallHandler;
      opts: RouteOptions;
      params: Record<string, string>;
      query: URLSearchParams;
    }
  | { status: 'no-path' }
  | { status: 'no-method'; allowed: string[] };

/** Finds handlers by method and path. */
export class HttpRouter {
  private readonly routes: Route[] = [];

  /** Adds a handler; `{name}` in the path matches one segment. */
  add(method: string, path: string, handler: CallHandler, opts: RouteOptions = {}): void {
    const source = path.replace(/\{(\w+)\}/g, '(?<$1>[^/]+)');
    this.routes.push({ method, pattern: new RegExp(`^${source}$`), handler, opts });
  }

  match(method: string, target: string): RouteMatch {
    const [path, search] = target.split('?', 2);
    const allowed: string[] = [];
    for (const route of this.routes) {
      const pathMatch = route.pattern.exec(path!);
      if (!pathMatch) continue;
      if (route.method !== method) {
        allowed.push(route.method);
        continue;
      }
      const params = HttpRouter.decodeParams(pathMatch.groups ?? {});
      return {
        status: 'found',
        handler: route.handler,
        opts: route.opts,
        params,
        query: new URLSearchParams(search),
      };
    }
    return allowed.length > 0 ? { status: 'no-method', allowed } : { status: 'no-path' };
  }

  private static decodeParams(groups: Record<string, string>): Record<string, string> {
    const entries = Object.entries(groups).map(([key, value]) => {
      try {
        return [key, decodeURIComponent(value)] as const;
      } catch {
        return [key, value] as const;
      }
    });
    return Object.fromEntries(entries);
  }
}
