import type { StandInOptions } from '@lagoongap/stand-in/standInOptions.js';

/** Returns options of a small runner, with `change` applied. */
export function createStandInOptions(overrides: Partial<StandInOptions>): StandInOptions {
  return {
    announcement: {
      id: 'endpoint-1',
      kind: 'runner',
      size: { cpuMillis: 8000, memoryMib: 8192, accelerators: 0, slots: 8 },
      rack: 'rack-1',
      dataCentre: 'dc-1',
      works: ['echo'],
      speed: 1,
      capabilities: ['checkpoint', 'throttle', 'stop'],
    },
    gateways: [],
    key: 'endpoint-key',
    ...overrides,
  };
}
