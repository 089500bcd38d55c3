import { Packr } from 'msgpackr';

import { escapeKeys, mayHoldProtoKey, unescapeKeys } from './protoKeys.js';

/**
 * Plain msgpack without records or extensions, readable by any msgpack library. As in JSON, a
 * field that is undefined is dropped and an undefined array element becomes null, so that data
 * is the same whether it came over the network or from disk.
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
  return mayHoldProtoKey(bytes) ? packr.pack(escapeKeys(value)) : bytes;
}

/** Decodes what {@link encodePayload} returned; throws if the bytes are not msgpack. */
export function decodePayload(bytes: Buffer): unknown {
  const value: unknown = packr.unpack(bytes);
  return mayHoldProtoKey(bytes) ? unescapeKeys(value) : value;
}
