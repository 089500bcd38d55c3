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

/** Reads an option by its flag, with its text unchanged. */
export interface CommandOptions {
  has(flag: string): boolean;
  text(flag: string): string | undefined;
}

function classifyRefusal(refusal: Refusal): ExitReason {
  if (refusal.runState === 'unknown') return 'unknown';
  if (refusal.type === 'conflict' || refusal.type === 'duplicate') return 'conflict';
  return 'refused';
}

/** What a command works with. */
export class CommandContext {
  constructor(
    readonly client: GatewayClient,
    readonly output: Output,
    readonly input: CommandInput,
    readonly options: CommandOptions,
    /** The key that was given by file or environment. */
    readonly key: string | undefined,
  ) {}

  /**
   * Calls the API and returns the JSON of a successful answer.
   *
   * @throws {ClientError} if the call is refused or cannot be sent.
   */
  async call<Answer>(call: GatewayCall): Promise<Answer> {
    const res = await this.client.send(call);
    CommandContext.requireSuccess(res);
    try {
      return JSON.parse(res.body.toString('utf8')) as Answer;
    } catch (err) {
      const reason = call.method === 'GET' ? 'refused' : 'unknown';
      const message = `expected JSON in the answer to ${call.method} ${call.path}`;
      throw new ClientError(reason, message, { cause: err as Error });
    }
  }

  /** Raises the refusal in a response, if there is one. */
  static requireSuccess(res: GatewayResponse): void {
    if (res.status < 400) return;
    const refusal = readRefusal(res);
    if (refusal) throw new ClientError(classifyRefusal(refusal), refusal.message, { refusal });
    throw new ClientError('unknown', `expected a lagoongap answer, received status ${res.status}`);
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
