import { crc32 } from 'node:zlib';

/**
 * Bytes before the payload: marker, length, checksum of place and length, checksum of place and
 * payload; 4 bytes each, big-endian. The first checksum keeps a reader from trusting a damaged
 * length, and from checking long payloads at every false marker.
 */
export const RECORD_HEADER_BYTES = 16;

/** Largest payload of a record in bytes. */
export const MAX_RECORD_BYTES = 64 * 1024 * 1024;

/**
 * Starts every record. Lets a reader find the next record behind a damaged one in time linear
 * in the file size; the length field alone would not.
 */
export const RECORD_MARKER = Buffer.from([0xf7, 0x4c, 0x47, 0xc1]);

/** Place of a record; part of its checksum, so that a copy elsewhere is not taken for a record. */
export interface RecordPlace {
  /** Number of the file that the record is in. */
  fileNumber: number;
  /** Offset of the record in the file in bytes. */
  offset: number;
}

/** Result of looking for a record at the start of some bytes. */
export type ParsedRecord =
  | { type: 'record'; payload: Buffer; end: number }
  /** `needed` bytes are required to decide; never more than a record of the largest size. */
  | { type: 'incomplete'; needed: number }
  | { type: 'invalid'; reason: string };

/** Bytes of file number, offset and length, which both checksums cover. */
const SEED_BYTES = 16;

function checkHeader(place: RecordPlace, length: number): number {
  const seed = Buffer.alloc(SEED_BYTES);
  seed.writeUIntBE(place.fileNumber, 0, 6);
  seed.writeUIntBE(place.offset, 6, 6);
  seed.writeUInt32BE(length, 12);
  return crc32(seed);
}

/** Returns the bytes of a record; the payload must not be empty. */
export function encodeRecord(place: RecordPlace, payload: Uint8Array): Buffer {
  const record = Buffer.allocUnsafe(RECORD_HEADER_BYTES + payload.length);
  RECORD_MARKER.copy(record);
  record.writeUInt32BE(payload.length, 4);
  const headerChecksum = checkHeader(place, payload.length);
  record.writeUInt32BE(headerChecksum, 8);
  record.writeUInt32BE(crc32(payload, headerChecksum), 12);
  record.set(payload, RECORD_HEADER_BYTES);
  return record;
}

/**
 * Looks for a record at the start of `bytes`. Never throws and never allocates; the payload is a
 * view of `bytes`.
 */
export function parseRecord(place: RecordPlace, bytes: Buffer): ParsedRecord {
  if (bytes.length < RECORD_HEADER_BYTES) {
    return { type: 'incomplete', needed: RECORD_HEADER_BYTES };
  }
  if (RECORD_MARKER.compare(bytes, 0, RECORD_MARKER.length) !== 0) {
    return { type: 'invalid', reason: 'no record marker' };
  }
  const length = bytes.readUInt32BE(4);
  // Unwritten blocks read as zeros, so an empty payload is never valid.
  if (length === 0 || length > MAX_RECORD_BYTES) {
    return { type: 'invalid', reason: `length of ${length} bytes is out of range` };
  }
  const headerChecksum = checkHeader(place, length);
  if (bytes.readUInt32BE(8) !== headerChecksum) {
    return { type: 'invalid', reason: 'header checksum mismatch' };
  }
  const end = RECORD_HEADER_BYTES + length;
  if (bytes.length < end) return { type: 'incomplete', needed: end };
  const payload = bytes.subarray(RECORD_HEADER_BYTES, end);
  if (bytes.readUInt32BE(12) !== crc32(payload, headerChecksum)) {
    return { type: 'invalid', reason: 'payload checksum mismatch' };
  }
  return { type: 'record', payload, end };
}
