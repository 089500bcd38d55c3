/** Exit codes of the command-line client. */
export const EXIT_CODES = {
  ok: 0,
  refused: 1,
  usage: 2,
  unreachable: 3,
  unknown: 4,
  conflict: 5,
  timeout: 6,
  workFailed: 7,
  auditBroken: 8,
  internal: 70,
} as const;

/** Reason for which a command exits. */
export type ExitReason = keyof typeof EXIT_CODES;

/** Description of each reason for the help text and the documentation. */
export const EXIT_MEANINGS: Readonly<Record<ExitReason, string>> = {
  ok: 'done',
  refused: 'refused, nothing was changed or run',
  usage: 'wrong command, option or input file',
  unreachable: 'no gateway could be reached, nothing was sent',
  unknown: 'the answer was lost, so the change or work may have been accepted',
  conflict: 'another note has the number, or the work was submitted before',
  timeout: 'accepted, but not finished or in force within the timeout',
  workFailed: 'the work ended without success',
  auditBroken: 'the audit trail is not intact',
  internal: 'fault of the client itself',
};

/** Formats the table of exit codes, one per line. */
export function listExitCodes(): string {
  const reasons = Object.keys(EXIT_CODES) as ExitReason[];
  return reasons
    .map((reason) => `  ${String(EXIT_CODES[reason]).padEnd(3)} ${EXIT_MEANINGS[reason]}`)
    .join('\n');
}
