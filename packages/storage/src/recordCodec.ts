import { crc32 } from 'node:zlib';

/**
 * Size of the record header: marker, length, checksum of position and length, checksum of position
 * and payload; 4 bytes each, big-endian. The first checksum keeps a reader from trusting a damaged
 * length and from verifying long payloads at every false marker.
 */
export const RECORD_HEADER_BYTES = 16;

/** Maximum payload size of a record. */
export const MAX_RECORD_BYTES = 64 * 1024 * 1024;

/**
 * Marker at the start of every record. It allows finding the next record after a damaged one in
 * time linear in the file size, which the length field alone does not.
 */
export const RECORD_MARKER = Buffer.from([0xf7, 0x4c, 0x47, 0xc1]);

/**
 * Position of a record; included in its checksums, so that a copy at another position is not
 * accepted as a record.
 */
export interface RecordPosition {
  /** Number of the file that contains the record. */
  fileNumber: number;
  /** Byte offset of the record in the file. */
  offset: number;
}

/** Result of parsing a record at the start of a buffer. */
export type ParsedRecord =
  | { type: 'record'; payload: Buffer; end: number }
  /** `needed` bytes are required to decide; at most the size of the largest record. */
  | { type: 'incomplete'; needed: number }
  | { type: 'invalid'; reason: string };

/** Size of the file number, offset and length that both checksums cover. */
const CHECKSUM_INPUT_BYTES = 16;

function computeHeaderChecksum(position: RecordPosition, length: number): number {
  const checksumInput = Buffer.alloc(CHECKSUM_INPUT_BYTES);
  checksumInput.writeUIntBE(position.fileNumber, 0, 6);
  checksumInput.writeUIntBE(position.offset, 6, 6);
  checksumInput.writeUInt32BE(length, 12);
  return crc32(checksumInput);
}

/** Encodes a record; the payload must not be empty. */
export function encodeRecord(position: RecordPosition, payload: Uint8Array): Buffer {
  const record = Buffer.allocUnsafe(RECORD_HEADER_BYTES + payload.length);
  RECORD_MARKER.copy(record);
  record.writeUInt32BE(payload.length, 4);
  const headerChecksum = computeHeaderChecksum(position, payload.length);
  record.writeUInt32BE(headerChecksum, 8);
  record.writeUInt32BE(crc32(payload, headerChecksum), 12);
  record.set(payload, RECORD_HEADER_BYTES);
  return record;
}

/**
 * Parses a record at the start of `bytes`. Never throws and does not allocate memory for the
 * payload, which is a view of `bytes`.
 */
export function parseRecord(position: RecordPosition, bytes: Buffer): ParsedRecord {
  if (bytes.length < RECORD_HEADER_BYTES) {
    return { type: 'incomplete', needed: RECORD_HEADER_BYTES };
  }
  if (RECORD_MARKER.compare(bytes, 0, RECORD_MARKER.length) !== 0) {
    return { type: 'invalid', reason: 'record marker not found' };
  }
  const length = bytes.readUInt32BE(4);
  // Unwritten blocks read as zeros, so an empty payload is never valid.
  if (length === 0 || length > MAX_RECORD_BYTES) {
    return { type: 'invalid', reason: `length of ${length} bytes is out of range` };
  }
  const headerChecksum = computeHeaderChecksum(position, length);
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
