import type {
  ApplyNoteParams,
  ApplyNoteResult,
  NoteStatusResult,
} from '@lagoongap/model/messages.js';
import type { NoteFault, ReleaseNote } from '@lagoongap/model/releaseNote.js';
import { RefusalError } from '@lagoongap/model/refusalError.js';
import { redactSecrets } from '@lagoongap/release-notes/accessKeys.js';
import { checkReleaseNote } from '@lagoongap/release-notes/checkReleaseNote.js';
import { hashReleaseNote } from '@lagoongap/release-notes/hashReleaseNote.js';
import { parseReleaseNote } from '@lagoongap/release-notes/parseReleaseNote.js';
import type { ClusterState } from '@lagoongap/state/clusterState.js';
import type { NoteResult } from '@lagoongap/state/commands.js';

import type { CommitQueue } from './commitQueue.js';
import type { GatewaySessions } from './gatewaySessions.js';

/** Options of {@link NoteService}. */
export interface NoteServiceOptions {
  state: ClusterState;
  commits: CommitQueue;
  sessions: GatewaySessions;
  /** Called after a release note was applied. */
  onApplied: () => void;
}

function createFaultError(faults: NoteFault[]): RefusalError {
  const lines = faults.map(({ line, path, message }) => `line ${line}: ${path}: ${message}`);
  return new RefusalError({
    type: 'invalid-input',
    runState: 'not-run',
    message: `the release note has ${faults.length} fault(s): ${lines.join('; ')}`,
    details: { faults },
  });
}

/** Validates and applies release notes. */
export class NoteService {
  private readonly opts: NoteServiceOptions;

  constructor(opts: NoteServiceOptions) {
    this.opts = opts;
  }

  /**
   * Applies a release note, or only validates it with `checkOnly`. Resolves when the note is
   * committed; a repeated call with the same content gets the same result.
   */
  async apply(params: ApplyNoteParams): Promise<ApplyNoteResult> {
    const { state } = this.opts;
    const { note, faults } = parseReleaseNote(params.text);
    if (!note) {
      if (!params.checkOnly) await this.recordRefused(params.by, faults);
      throw createFaultError(faults);
    }
    const contentHash = hashReleaseNote(note);
    if (params.checkOnly) return this.check(note, contentHash, params.text);
    const result = await this.opts.commits.commit<NoteResult>({
      type: 'apply-note',
      note,
      contentHash,
      by: params.by,
      wallTime: Date.now(),
    });
    if (result.status === 'faulty')
      throw createFaultError(this.locateFaults(params.text, result.faults));
    if (result.status !== 'accepted') throw this.createRefusal(result, note.number, contentHash);
    if (state.config.number === note.number) this.opts.onApplied();
    return { status: 'accepted', number: note.number, contentHash };
  }

  /** Returns on which instances an accepted release note is in force. */
  readNoteStates(number: number): NoteStatusResult {
    const { state, sessions } = this.opts;
    const contentHash = state.configTable.findNoteHash(number);
    if (contentHash === undefined) {
      throw new RefusalError({
        type: 'not-found',
        runState: 'not-run',
        message: `there is no accepted release note ${number}`,
      });
    }
    const instances = sessions.listNoteStates(number);
    const inForceEverywhere = instances.every((instance) => instance.state !== 'pending');
    return { number, contentHash, inForceEverywhere, instances };
  }

  private check(note: ReleaseNote, contentHash: string, text: string): ApplyNoteResult {
    const { state } = this.opts;
    const knownHash = state.configTable.findNoteHash(note.number);
    const { number } = note;
    if (knownHash === contentHash) return { status: 'valid', number, contentHash };
    if (knownHash !== undefined) {
      throw this.createRefusal(
        { status: 'conflict', number, winner: knownHash },
        number,
        contentHash,
      );
    }
    const newest = state.config.number;
    if (number < newest) {
      throw this.createRefusal({ status: 'outdated', number, newest }, number, contentHash);
    }
    const faults = checkReleaseNote(note, state.config);
    if (faults.length > 0) throw createFaultError(this.locateFaults(text, faults));
    return { status: 'valid', number, contentHash };
  }

  /** Adds the line numbers of the text to faults that depend on the configuration in force. */
  private locateFaults(text: string, faults: NoteFault[]): NoteFault[] {
    const located = parseReleaseNote(text, this.opts.state.config).faults;
    return located.length > 0 ? located : faults;
  }

  private async recordRefused(by: string, faults: NoteFault[]): Promise<void> {
    await this.opts.commits.commit({
      type: 'refuse-note',
      number: 0,
      contentHash: '',
      by,
      // The audit trail is stored, and a fault may quote a secret written in place of its hash.
      summary: redactSecrets(
        `refused: ${faults.length} fault(s), first: ${faults[0]?.message ?? ''}`,
      ),
      wallTime: Date.now(),
    });
  }

  private createRefusal(result: NoteResult, number: number, contentHash: string): RefusalError {
    if (result.status === 'faulty') return createFaultError(result.faults);
    const details = { ...result, contentHash };
    const message =
      result.status === 'conflict'
        ? `release note ${number} was accepted with other content (hash ${result.winner})`
        : `release note ${number} is older than the newest accepted one`;
    return new RefusalError({ type: 'conflict', runState: 'not-run', message, details });
  }
}
