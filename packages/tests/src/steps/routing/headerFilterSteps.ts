import assert from 'node:assert/strict';

import { Then } from '@cucumber/cucumber';
import { filterResponseHeaders, filterRequestHeaders } from '@lagoongap/routing/headerFilter.js';
import fc from 'fast-check';

const HOP_BY_HOP = [
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
];

const FORGED = ['lagoongap-attempt', 'Lagoongap-Token', 'authorization', 'host'];

/** Fields that must be kept unless the connection field lists them. */
const END_TO_END = ['content-type', 'x-a', 'x-b', 'accept'];

const nameArbitrary = fc
  .tuple(fc.constantFrom(...HOP_BY_HOP, ...FORGED, ...END_TO_END), fc.boolean())
  .map(([name, isUpper]) => (isUpper ? name.toUpperCase() : name));

const headersArbitrary = fc
  .tuple(
    fc.dictionary(nameArbitrary, fc.string()),
    fc.array(fc.constantFrom('x-a', 'X-B', 'close'), { maxLength: 3 }),
  )
  .map(([headers, options]) => {
    const others = Object.entries(headers).filter(([name]) => name.toLowerCase() !== 'connection');
    return { headers: { ...Object.fromEntries(others), Connection: options.join(' , ') }, options };
  });

Then('for all headers only end-to-end fields are forwarded', () => {
  fc.assert(
    fc.property(headersArbitrary, ({ headers, options }) => {
      const listed = options.map((option) => option.toLowerCase());
      const expected = new Set(
        Object.keys(headers)
          .map((name) => name.toLowerCase())
          .filter((name) => END_TO_END.includes(name) && !listed.includes(name)),
      );
      assert.deepEqual(new Set(Object.keys(filterRequestHeaders(headers))), expected);
      const responseNames = Object.keys(filterResponseHeaders(headers));
      assert.ok(
        responseNames.every((name) => !HOP_BY_HOP.includes(name) && !listed.includes(name)),
      );
      assert.ok([...expected].every((name) => responseNames.includes(name)));
    }),
  );
});
