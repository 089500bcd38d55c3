/** Most data centres that are kept track of; the state must not grow with wrong names. */
const MAX_RECORDS = 256;

/** Any text that heartbeats carry, but for control characters. */
const DATA_CENTRE_PATTERN = /^[^\p{C}\p{Zl}\p{Zp}]{1,256}$/u;

/** Returns whether a text can be the name of a data centre. */
export function isDataCentreName(text: string): boolean {
  return DATA_CENTRE_PATTERN.test(text);
}

/** Latest change of the evacuation of a data centre; while evacuated, it gets no new work. */
export interface EvacuationRecord {
  dataCentre: string;
  isEvacuated: boolean;
  /** Time at which the latest evacuation was accepted, Unix milliseconds; 0 if there was none. */
  acceptedMs: number;
  /** Number of the change among those of all data centres. */
  version: number;
}

/** Command that changes the evacuation of a data centre. */
export type EvacuationCommand =
  | {
      type: 'begin-evacuation';
      dataCentre: string;
      /** {@link EvacuationState.version} that the caller read before. */
      version: number;
      /** Unix milliseconds. */
      acceptedMs: number;
    }
  | { type: 'end-evacuation'; dataCentre: string; version: number };

/**
 * Result of a change: `outdated` if the data centre has changed since the caller read the version,
 * `full` if too many data centres are evacuated. Neither has an effect.
 */
export type EvacuationResult = 'accepted' | 'outdated' | 'full';

/** Serialisable form for snapshots. */
export interface EvacuationSnapshot {
  version: number;
  /** Version below which changes of data centres without a record are outdated. */
  forgottenVersion: number;
  records: EvacuationRecord[];
}

/**
 * Evacuated data centres; part of the replicated state. Each accepted call counts as a change, even
 * if it finds what it asks for, so that a delayed repetition of an earlier call cannot undo it.
 */
export class EvacuationState {
  /** Data centres by name, the one that changed last at the end. */
  private readonly records = new Map<string, EvacuationRecord>();
  private changeCount = 0;
  private forgottenVersion = 0;

  /** Number of changes. */
  get version(): number {
    return this.changeCount;
  }

  /** Returns whether a data centre is evacuated. */
  has(dataCentre: string): boolean {
    return this.records.get(dataCentre)?.isEvacuated ?? false;
  }

  /** Returns the evacuations in force. */
  list(): EvacuationRecord[] {
    return [...this.records.values()].filter(({ isEvacuated }) => isEvacuated);
  }

  apply(command: EvacuationCommand): EvacuationResult {
    const { dataCentre } = command;
    const known = this.records.get(dataCentre);
    const isBegin = command.type === 'begin-evacuation';
    const isInForce = isBegin === this.has(dataCentre);
    if (command.version < (known?.version ?? this.forgottenVersion)) {
      return isInForce ? 'accepted' : 'outdated';
    }
    if (!known && !this.makeRoom()) return isBegin ? 'full' : 'accepted';
    this.changeCount += 1;
    const acceptedMs = isBegin && !isInForce ? command.acceptedMs : (known?.acceptedMs ?? 0);
    this.records.delete(dataCentre);
    this.records.set(dataCentre, {
      dataCentre,
      isEvacuated: isBegin,
      acceptedMs,
      version: this.changeCount,
    });
    return 'accepted';
  }

  snapshot(): EvacuationSnapshot {
    const { changeCount: version, forgottenVersion } = this;
    return { version, forgottenVersion, records: [...this.records.values()] };
  }

  /** @param snapshot - Absent in snapshots of earlier releases. */
  restore(snapshot: EvacuationSnapshot | undefined): void {
    this.changeCount = snapshot?.version ?? 0;
    this.forgottenVersion = snapshot?.forgottenVersion ?? 0;
    this.records.clear();
    for (const record of snapshot?.records ?? []) this.records.set(record.dataCentre, record);
  }

  /** Forgets the evacuation that ended first if there are too many records. */
  private makeRoom(): boolean {
    if (this.records.size < MAX_RECORDS) return true;
    const ended = [...this.records.values()].find(({ isEvacuated }) => !isEvacuated);
    if (!ended) return false;
    this.records.delete(ended.dataCentre);
    this.forgottenVersion = ended.version;
    return true;
  }
}
