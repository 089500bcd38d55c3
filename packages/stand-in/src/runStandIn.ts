import type { EndpointCapability, EndpointKind } from '@lagoongap/model/endpoint.js';
import { cac } from 'cac';

import { StandInEndpoint } from './standInEndpoint.js';

function toList(value: unknown): string[] {
  if (value === undefined) return [];
  return [value].flat().flatMap((item) => String(item).split(','));
}

/** Returns the key as given on the command line; the option parser converts digits to numbers. */
function readKey(parsed: unknown): string {
  if (parsed === undefined) return process.env.LAGOONGAP_ENDPOINT_KEY ?? '';
  const at = process.argv.findIndex((arg) => arg === '--key' || arg.startsWith('--key='));
  return process.argv[at] === '--key' ? process.argv[at + 1]! : process.argv[at]!.slice(6);
}

function printLine(record: object): void {
  process.stdout.write(`${JSON.stringify(record)}\n`);
}

const cli = cac('runStandIn');
cli
  .command('', 'Runs one stand-in endpoint')
  .option('--id <id>', 'Identifier', { default: `endpoint-${process.pid}` })
  .option('--gateway <url>', 'Base URL of a gateway; repeatable or comma-separated')
  .option('--key <secret>', 'Secret of an endpoint key; LAGOONGAP_ENDPOINT_KEY by default')
  .option('--kind <kind>', 'worker or runner', { default: 'runner' })
  .option('--host <address>', 'Address to listen on', { default: '127.0.0.1' })
  .option('--port <port>', 'Port to listen on; 0 selects a free port', { default: 0 })
  .option('--cpu <millis>', 'CPU size in thousandths of a core', { default: 32_000 })
  .option('--memory <mib>', 'Memory in MiB', { default: 131_072 })
  .option('--accelerators <count>', 'Accelerators', { default: 0 })
  .option('--slots <count>', 'Slots', { default: 8 })
  .option('--rack <rack>', 'Rack', { default: 'rack-1' })
  .option('--data-centre <name>', 'Data centre', { default: 'dc-1' })
  .option('--work <kind>', 'Kind of work; repeatable or comma-separated')
  .option('--speed <factor>', 'Relative speed', { default: 1 })
  .option('--capability <name>', 'checkpoint, throttle or stop; repeatable', {
    default: 'checkpoint,throttle,stop',
  })
  .option('--behaviour <json>', 'Behaviour switches as JSON', { default: '{}' })
  .action(async (opts: Record<string, unknown>) => {
    const endpoint = new StandInEndpoint({
      announcement: {
        id: String(opts.id),
        kind: opts.kind as EndpointKind,
        size: {
          cpuMillis: Number(opts.cpu),
          memoryMib: Number(opts.memory),
          accelerators: Number(opts.accelerators),
          slots: Number(opts.slots),
        },
        rack: String(opts.rack),
        dataCentre: String(opts.dataCentre),
        works: toList(opts.work),
        speed: Number(opts.speed),
        capabilities: toList(opts.capability) as EndpointCapability[],
      },
      gateways: toList(opts.gateway),
      key: readKey(opts.key),
      host: String(opts.host),
      port: Number(opts.port),
      behaviour: JSON.parse(String(opts.behaviour)),
      onHistory: printLine,
    });
    process.once('SIGTERM', () => {
      endpoint
        .leave()
        .then(() => endpoint[Symbol.asyncDispose]())
        .then(() => process.exit(0))
        .catch(() => process.exit(1));
    });
    await endpoint.start();
    printLine({ type: 'ready', endpoint: String(opts.id), url: endpoint.url, pid: process.pid });
  });
cli.help();
cli.parse(process.argv, { run: false });
await cli.runMatchedCommand();
