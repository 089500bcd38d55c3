/** One line of a log, as the programs write them. */
export interface LogLine {
  /** ISO time. */
  time: string;
  instance?: string;
  level: string;
  message: string;
  [field: string]: unknown;
}

/** What the logs tell about one job, request or run. */
export interface JobStory {
  /** Lines about it and about what happened around it, in the order of their times. */
  lines: LogLine[];
  /** Longest time between two lines about it in milliseconds, with the line that ended it. */
  longestGap?: { ms: number; before: LogLine };
  /** Lines that could not be read. */
  unreadable: number;
}

/** Changes of what the system believes, which may explain a gap between two lines. */
const CONTEXT_MESSAGES = new Set([
  'replica role',
  'leadership of workflows begins',
  'leadership of workflows ends',
  'a newer leader gives orders',
  'configuration is in force',
  'leader is out of touch',
  'replica listens',
  'replica stops',
]);

/** Trouble with an endpoint; told only of endpoints that the job ran on. */
const ENDPOINT_MESSAGES = new Set([
  'endpoint does not answer',
  'endpoint leaves',
  'endpoint is forgotten',
  'endpoint has changed',
]);

const ENDPOINT_PATTERN = / on ([^,]+)/g;

/** Returns the line in a text that may stand after something else, such as a bench's own clock. */
function parseLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    const line = JSON.parse(text.slice(start)) as Partial<LogLine>;
    const isLine = typeof line.time === 'string' && typeof line.message === 'string';
    return isLine ? (line as LogLine) : undefined;
  } catch {
    // Torn lines are counted by the caller.
    return undefined;
  }
}

function mentions(value: unknown, id: string): boolean {
  if (typeof value === 'string') return value.includes(id);
  if (Array.isArray(value)) return value.some((item) => mentions(item, id));
  return false;
}

/** Leaves out the runs of other jobs where a line lists several. */
function narrow(line: LogLine, id: string): LogLine {
  const { runs, step } = line;
  if (typeof runs !== 'string' || mentions(step, id)) return line;
  const own = runs.split(',').filter((run) => run.includes(id));
  return { ...line, runs: own.join() };
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

function findLongestGap(lines: LogLine[]): JobStory['longestGap'] {
  let longest: JobStory['longestGap'];
  for (const [index, line] of lines.slice(1).entries()) {
    const ms = Date.parse(line.time) - Date.parse(lines[index]!.time);
    if (!longest || ms > longest.ms) longest = { ms, before: line };
  }
  return longest;
}

/**
 * Joins the logs of several instances to the story of one job, request, step or run: every line
 * that names it, and between the first and the last of them the changes of leader, configuration
 * and contact, and trouble with the endpoints that it ran on.
 */
export function tellStory(texts: Iterable<string>, id: string): JobStory {
  const all: LogLine[] = [];
  let unreadable = 0;
  for (const text of texts) {
    const line = parseLine(text);
    if (line) all.push(line);
    else if (text.trim() !== '') unreadable += 1;
  }
  all.sort((a, b) => Date.parse(a.time) - Date.parse(b.time));
  const isOwn = (line: LogLine): boolean =>
    Object.values(line).some((value) => mentions(value, id));
  const own = all.filter(isOwn).map((line) => narrow(line, id));
  const endpoints = listEndpoints(own);
  const first = own[0]?.time ?? '';
  const last = own.at(-1)?.time ?? '';
  const isAround = ({ time, message, endpoint }: LogLine): boolean => {
    if (time < first || time > last) return false;
    if (CONTEXT_MESSAGES.has(message)) return true;
    return ENDPOINT_MESSAGES.has(message) && endpoints.has(String(endpoint));
  };
  const lines = all
    .filter((line) => isOwn(line) || isAround(line))
    .map((line) => (isOwn(line) ? narrow(line, id) : line));
  return { lines, longestGap: findLongestGap(own), unreadable };
}
