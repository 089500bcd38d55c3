import type { Refusal } from '@lagoongap/model/refusal.js';

import { ClientError } from './clientError.js';
import type { ExitReason } from './exitCodes.js';
import type { GatewayCall, GatewayClient, GatewayResponse } from './gatewayClient.js';
import type { Output } from './output.js';
import { readRefusal } from './readRefusal.js';

/** Files and standard input of the process. */
export interface CommandInput {
  readFile(file: string): Promise<Buffer>;
  readStdin(): Promise<Buffer>;
}

/** Access to the options by their flags; values are returned as given. */
export interface CommandOptions {
  has(flag: string): boolean;
  text(flag: string): string | undefined;
}

function classifyRefusal(refusal: Refusal): ExitReason {
  if (refusal.runState === 'unknown') return 'unknown';
  if (refusal.type === 'conflict' || refusal.type === 'duplicate') return 'conflict';
  return 'refused';
}

/** Client, output, input and options of a running command. */
export class CommandContext {
  constructor(
    readonly client: GatewayClient,
    readonly output: Output,
    readonly input: CommandInput,
    readonly options: CommandOptions,
    /** Secret of the key from `--key-file` or the environment. */
    readonly key: string | undefined,
  ) {}

  /**
   * Calls the API and returns the parsed JSON of a successful response.
   *
   * @throws {ClientError} if the call is refused or cannot be sent.
   */
  async call<Result>(call: GatewayCall): Promise<Result> {
    const res = await this.client.send(call);
    CommandContext.requireSuccess(res);
    try {
      return JSON.parse(res.body.toString('utf8')) as Result;
    } catch (err) {
      const reason = call.method === 'GET' ? 'refused' : 'unknown';
      const message = `expected JSON in the response to ${call.method} ${call.path}`;
      throw new ClientError(reason, message, { cause: err as Error });
    }
  }

  /** Throws if the status of a response is an error; a refusal is attached to the error. */
  static requireSuccess(res: GatewayResponse): void {
    if (res.status < 400) return;
    const refusal = readRefusal(res);
    if (refusal) throw new ClientError(classifyRefusal(refusal), refusal.message, { refusal });
    throw new ClientError(
      'unknown',
      `expected a lagoongap response, received status ${res.status}`,
    );
  }

  async readText(file: string): Promise<string> {
    return (await this.readBytes(file)).toString('utf8');
  }

  async readBytes(file: string): Promise<Buffer> {
    try {
      return await this.input.readFile(file);
    } catch (err) {
      throw new ClientError('usage', `cannot read ${file}`, { cause: err as Error });
    }
  }
}
