import { formatTable } from './markdownTable.js';

/** One day of a run in a journal entry; other fields are ignored. */
interface JournalDay {
  name: string;
  /** Worth of the day, as rated by the users' bench. */
  G: number;
  /** Number of violations of each broken rule. */
  rules: Record<string, number>;
  gate: boolean;
}

/** Journal entry that a run of the users' bench writes; other fields are ignored. */
export interface JournalEntry {
  id: string;
  /** Start and end time of the run in ISO 8601 format. */
  at: string[];
  cmd: string;
  site: string | null;
  /** Measured commit. */
  head: string;
  why: string | null;
  score: number | null;
  days: JournalDay[];
}

const COMMIT_DIGITS = 7;
const WORTH_DIGITS = 3;

function formatRules(days: JournalDay[]): string {
  const counts = new Map<string, number>();
  for (const { rules } of days) {
    for (const [rule, count] of Object.entries(rules)) {
      counts.set(rule, (counts.get(rule) ?? 0) + count);
    }
  }
  return [...counts].map(([rule, count]) => `${rule} ${count}`).join(', ') || 'none';
}

function toRow({ at, cmd, site, head, why, score, days }: JournalEntry): Record<string, string> {
  const worths = days.map(({ G }) => G);
  const mean = worths.reduce((sum, worth) => sum + worth, 0) / worths.length;
  const missedGate = days.filter(({ gate }) => !gate).map(({ name }) => name);
  return {
    begun: at[0] ?? '',
    site: site ?? '-',
    command: cmd,
    commit: head.slice(0, COMMIT_DIGITS),
    day: days.length === 1 ? days[0]!.name : `${days.length} days`,
    'worth, mean': mean.toFixed(WORTH_DIGITS),
    lowest: Math.min(...worths).toFixed(WORTH_DIGITS),
    score: score?.toFixed(WORTH_DIGITS) ?? '-',
    'broken rules': formatRules(days),
    'short of the gate': missedGate.join(', ') || '-',
    why: (why ?? '').replaceAll('|', '/').replaceAll('\n', ' '),
  };
}

/** Renders the journal entries that contain days as a Markdown table, oldest first. */
export function renderJournal(entries: JournalEntry[]): string {
  const played = entries.filter(({ days }) => days.length > 0);
  played.sort((a, b) => a.at[0]!.localeCompare(b.at[0]!));
  const rows = played.map(toRow);
  return formatTable([Object.keys(rows[0] ?? {}), ...rows.map((row) => Object.values(row))]);
}
