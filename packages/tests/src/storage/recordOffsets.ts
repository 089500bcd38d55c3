import { RECORD_HEADER_BYTES } from '@lagoongap/storage/recordCodec.js';

/** Returns the offsets of the records in an intact file, followed by the length of the file. */
export function readRecordOffsets(content: Buffer): number[] {
  const offsets = [0];
  let offset = 0;
  while (offset < content.length) {
    offset += RECORD_HEADER_BYTES + content.readUInt32BE(offset + 4);
    offsets.push(offset);
  }
  return offsets;
}

/** Returns a function that flips one bit of a byte. */
export function flipBit(position: number): (content: Buffer) => Buffer {
  return (content) => {
    const value = content.readUInt8(position);
    const bit = 2 ** (position % 8);
    const isSet = Math.floor(value / bit) % 2 === 1;
    content.writeUInt8(isSet ? value - bit : value + bit, position);
    return content;
  };
}
