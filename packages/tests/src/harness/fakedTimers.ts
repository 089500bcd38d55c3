/** Functions of the runtime's clock that tests of a whole cell replace. */
export const FAKED_TIMERS = [
  'setTimeout',
  'clearTimeout',
  'setInterval',
  'clearInterval',
  'setImmediate',
  'clearImmediate',
  'performance',
  'Date',
] as const;
