import { Packr } from 'msgpackr';

import { escapeKeys, mayContainProtoKey, unescapeKeys } from './protoKeys.js';

/**
 * Plain msgpack without records or extensions, readable by any msgpack library. As in JSON,
 * undefined fields are omitted and undefined array elements become null, so that data is the same
 * whether it was received over the network or read from disk.
 */
const packr = new Packr({
  useRecords: false,
  moreTypes: false,
  variableMapSize: true,
  encodeUndefinedAsNil: true,
  int64AsType: 'number',
  copyBuffers: true,
  ...{ skipValues: [undefined] },
});

/** Encodes plain data: null, booleans, numbers, strings, arrays, objects and byte arrays. */
export function encodePayload(value: unknown): Buffer {
  const bytes = packr.pack(value);
  return mayContainProtoKey(bytes) ? packr.pack(escapeKeys(value)) : bytes;
}

/** Decodes the output of {@link encodePayload}; throws if the bytes are not valid msgpack. */
export function decodePayload(bytes: Buffer): unknown {
  const value: unknown = packr.unpack(bytes);
  return mayContainProtoKey(bytes) ? unescapeKeys(value) : value;
}
