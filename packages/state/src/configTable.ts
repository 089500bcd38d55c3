import { createEmptyConfig, type ClusterConfig } from '@lagoongap/model/clusterConfig.js';
import type { ReleaseNote } from '@lagoongap/model/releaseNote.js';
import { applyReleaseNote } from '@lagoongap/release-notes/applyReleaseNote.js';
import {
  FIRST_AUDIT_INDEX,
  FIRST_PREVIOUS_HASH,
  hashAuditEntry,
  type AuditEntry,
} from '@lagoongap/release-notes/auditTrail.js';
import { checkReleaseNote } from '@lagoongap/release-notes/checkReleaseNote.js';
import { diffConfigs, type EntryDiff } from '@lagoongap/release-notes/diffConfigs.js';

import type {
  ApplyNoteCommand,
  ChangeEvacuationCommand,
  NoteResult,
  RefuseNoteCommand,
} from './commands.js';
import { MAX_AUDIT_ENTRIES, MAX_RECENT_NOTES } from './retention.js';

interface ConfigTableSnapshot {
  config: ClusterConfig;
  noteNumbers: number[];
  noteHashes: string[];
  recentNotes: ReleaseNote[];
  audit: AuditEntry[];
}

/** Returns the changed fields of each entry before or after a change, as plain JSON data. */
function listChangedFields(entries: EntryDiff[], side: 'before' | 'after'): unknown {
  return entries.map(({ kind, name, fields }) => ({
    kind,
    name,
    fields: Object.fromEntries(fields.map((field) => [field.field, field[side] ?? null])),
  }));
}

/** Current configuration, accepted release notes and the audit trail. */
export class ConfigTable {
  private current: ClusterConfig = createEmptyConfig();
  private hashes = new Map<number, string>();
  private recentNotes: ReleaseNote[] = [];
  private audit: AuditEntry[] = [];

  get config(): ClusterConfig {
    return this.current;
  }

  get auditTrail(): readonly AuditEntry[] {
    return this.audit;
  }

  /** Returns the content hash of an accepted note. */
  findNoteHash(number: number): string | undefined {
    return this.hashes.get(number);
  }

  /**
   * Returns the accepted notes after `number` in order, or undefined if the full content of
   * some of them is no longer retained.
   */
  listNotesAfter(number: number): ReleaseNote[] | undefined {
    if (number === this.current.number) return [];
    const position = this.recentNotes.findIndex((note) => note.number === number);
    return position < 0 ? undefined : this.recentNotes.slice(position + 1);
  }

  apply(command: ApplyNoteCommand): NoteResult {
    const { note, contentHash } = command;
    const acceptedHash = this.hashes.get(note.number);
    if (acceptedHash === contentHash)
      return { status: 'accepted', number: note.number, contentHash };
    const refusal = this.findRefusal(note, acceptedHash);
    if (refusal) {
      this.auditRefusal(command, refusal);
      return refusal;
    }
    const before = this.current;
    this.current = applyReleaseNote(before, note);
    this.hashes.set(note.number, contentHash);
    this.recentNotes.push(note);
    if (this.recentNotes.length > MAX_RECENT_NOTES) this.recentNotes.shift();
    const { entries } = diffConfigs(before, this.current);
    this.appendAudit({
      number: note.number,
      by: command.by,
      wallTime: new Date(command.wallTime).toISOString(),
      accepted: true,
      contentHash,
      summary: note.comment ?? '',
      before: listChangedFields(entries, 'before'),
      after: listChangedFields(entries, 'after'),
    });
    return { status: 'accepted', number: note.number, contentHash };
  }

  recordRefusedNote(command: RefuseNoteCommand): void {
    this.appendAudit({
      number: command.number,
      by: command.by,
      wallTime: new Date(command.wallTime).toISOString(),
      accepted: false,
      contentHash: command.contentHash,
      summary: command.summary,
      before: null,
      after: null,
    });
  }

  /** Records who began or ended the evacuation of a data centre; not a release note. */
  auditEvacuation({ change, by, wallTime }: ChangeEvacuationCommand, isEvacuated: boolean): void {
    const describe = (value: boolean): unknown => [
      { kind: 'evacuation', name: change.dataCentre, fields: { isEvacuated: value } },
    ];
    this.appendAudit({
      number: this.current.number,
      by,
      wallTime: new Date(wallTime).toISOString(),
      accepted: true,
      contentHash: '',
      summary: `evacuation of ${change.dataCentre} ${isEvacuated ? 'begins' : 'ends'}`,
      before: describe(!isEvacuated),
      after: describe(isEvacuated),
    });
  }

  snapshot(): ConfigTableSnapshot {
    return {
      config: this.current,
      noteNumbers: [...this.hashes.keys()],
      noteHashes: [...this.hashes.values()],
      recentNotes: [...this.recentNotes],
      audit: [...this.audit],
    };
  }

  restore(snapshot: ConfigTableSnapshot): void {
    this.current = snapshot.config;
    this.hashes = new Map(
      snapshot.noteNumbers.map((number, i) => [number, snapshot.noteHashes[i]!]),
    );
    this.recentNotes = [...snapshot.recentNotes];
    this.audit = [...snapshot.audit];
  }

  private findRefusal(note: ReleaseNote, acceptedHash: string | undefined): NoteResult | undefined {
    if (acceptedHash !== undefined)
      return { status: 'conflict', number: note.number, winner: acceptedHash };
    if (note.number < this.current.number) {
      return { status: 'outdated', number: note.number, newest: this.current.number };
    }
    const faults = checkReleaseNote(note, this.current);
    return faults.length > 0 ? { status: 'faulty', faults } : undefined;
  }

  private auditRefusal(command: ApplyNoteCommand, result: NoteResult): void {
    this.recordRefusedNote({
      type: 'refuse-note',
      number: command.note.number,
      contentHash: command.contentHash,
      by: command.by,
      summary: `refused: ${result.status}`,
      wallTime: command.wallTime,
    });
  }

  private appendAudit(fields: Omit<AuditEntry, 'index' | 'previousHash' | 'hash'>): void {
    const last = this.audit.at(-1);
    const entry = {
      ...fields,
      index: last ? last.index + 1 : FIRST_AUDIT_INDEX,
      previousHash: last?.hash ?? FIRST_PREVIOUS_HASH,
    };
    this.audit.push({ ...entry, hash: hashAuditEntry(entry) });
    if (this.audit.length > MAX_AUDIT_ENTRIES) this.audit.shift();
  }
}
