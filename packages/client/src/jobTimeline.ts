/** One structured log line of any lagoongap program. */
export interface LogLine {
  /** Time in ISO 8601. */
  time: string;
  instance?: string;
  level: string;
  message: string;
  [field: string]: unknown;
}

/** Log lines about one job, request, step or run. */
export interface JobTimeline {
  /** Lines that name it and related lines that give context, sorted by time. */
  lines: LogLine[];
  /** Longest time between two lines that name it, with the line that ends the gap. */
  longestGap?: { ms: number; before: LogLine };
  /** Number of lines that could not be parsed. */
  unreadable: number;
}

/**
 * Messages about changes of leadership, configuration and connectivity, and about missing lines,
 * which may explain a gap between two lines.
 */
const CONTEXT_MESSAGES = new Set([
  'replica role',
  'leadership of workflows begins',
  'leadership of workflows ends',
  'a newer leader gives orders',
  'configuration is in force',
  'take-over phase reached',
  'leadership is not valid',
  'leadership was not valid',
  'event loop was blocked',
  'leader is reachable',
  'leader is out of touch',
  'no valid leader',
  'valid leader found',
  'log lines left out',
  'replica listens',
  'replica stops',
]);

/** Messages about failures and changes of an endpoint; included only for endpoints of the job. */
const ENDPOINT_MESSAGES = new Set([
  'endpoint does not answer',
  'endpoint leaves',
  'endpoint is forgotten',
  'endpoint has changed',
  'endpoint crashed',
]);

const ENDPOINT_PATTERN = / on ([^,]+)/g;

/** Parses a log line, which may follow a prefix such as the bench's own clock. */
function parseLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    const line = JSON.parse(text.slice(start)) as Partial<LogLine>;
    const isLine = typeof line.time === 'string' && typeof line.message === 'string';
    return isLine ? (line as LogLine) : undefined;
  } catch {
    // Truncated lines are counted by the caller.
    return undefined;
  }
}

function containsId(value: unknown, id: string): boolean {
  if (typeof value === 'string') return value.includes(id);
  if (Array.isArray(value)) return value.some((item) => containsId(item, id));
  return false;
}

/** Removes the runs of other jobs from a line that lists several runs. */
function filterRuns(line: LogLine, id: string): LogLine {
  const { runs, step } = line;
  if (typeof runs !== 'string' || containsId(step, id)) return line;
  const ownRuns = runs.split(',').filter((run) => run.includes(id));
  return { ...line, runs: ownRuns.join() };
}

/** Returns the time at which the event of a line began, in Unix milliseconds. */
function beginTimeMs({ time, tookMs, heldMs }: LogLine): number {
  const durationMs = tookMs ?? heldMs;
  return Date.parse(time) - (typeof durationMs === 'number' ? durationMs : 0);
}

function listEndpoints(lines: LogLine[]): Set<string> {
  const endpoints = new Set<string>();
  for (const { endpoint, runs } of lines) {
    if (typeof endpoint === 'string') endpoints.add(endpoint);
    if (typeof runs !== 'string') continue;
    for (const [, id] of runs.matchAll(ENDPOINT_PATTERN)) endpoints.add(id!);
  }
  return endpoints;
}

function findLongestGap(lines: LogLine[]): JobTimeline['longestGap'] {
  let longest: JobTimeline['longestGap'];
  for (const [index, line] of lines.slice(1).entries()) {
    const ms = Date.parse(line.time) - Date.parse(lines[index]!.time);
    if (!longest || ms > longest.ms) longest = { ms, before: line };
  }
  return longest;
}

/**
 * Merges the logs of several instances into the timeline of one job, request, step or run. It
 * contains every line that names the id and, from the beginning of the first to the last of them,
 * changes of leader, configuration and connectivity, and failures and changes of the endpoints that it ran on.
 */
export function buildTimeline(texts: Iterable<string>, id: string): JobTimeline {
  const all: LogLine[] = [];
  let unreadable = 0;
  for (const text of texts) {
    const line = parseLine(text);
    if (line) all.push(line);
    else if (text.trim() !== '') unreadable += 1;
  }
  all.sort((a, b) => Date.parse(a.time) - Date.parse(b.time));
  const namesId = (line: LogLine): boolean =>
    Object.values(line).some((value) => containsId(value, id));
  const ownLines = all.filter(namesId).map((line) => filterRuns(line, id));
  const endpoints = listEndpoints(ownLines);
  const firstMs = Math.min(...ownLines.map(beginTimeMs));
  const lastMs = Math.max(...ownLines.map(({ time }) => Date.parse(time)));
  const isContext = ({ time, message, endpoint }: LogLine): boolean => {
    if (Date.parse(time) < firstMs || Date.parse(time) > lastMs) return false;
    if (CONTEXT_MESSAGES.has(message)) return true;
    return ENDPOINT_MESSAGES.has(message) && endpoints.has(String(endpoint));
  };
  const lines = all
    .filter((line) => namesId(line) || isContext(line))
    .map((line) => (namesId(line) ? filterRuns(line, id) : line));
  return { lines, longestGap: findLongestGap(ownLines), unreadable };
}
