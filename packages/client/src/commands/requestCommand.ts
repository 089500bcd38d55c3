import { ClientError } from '../clientError.js';
import { CommandContext } from '../commandContext.js';
import { readRefusal } from '../readRefusal.js';

/** Request headers by the flags that set them. */
const HEADER_FLAGS: Readonly<Record<string, string>> = {
  '--queue': 'lagoongap-queue',
  '--work': 'lagoongap-work',
  '--deadline': 'lagoongap-deadline-ms',
  '--idempotency-key': 'idempotency-key',
  '--content-type': 'content-type',
};

/** `request`: sends a request and writes the body of the response to standard output. */
export async function sendRequest(context: CommandContext): Promise<void> {
  const { options, output } = context;
  if (!options.text('--queue')) throw new ClientError('usage', 'expected --queue <name>');
  const headers: Record<string, string> = {};
  for (const [flag, header] of Object.entries(HEADER_FLAGS)) {
    const value = options.text(flag);
    if (value !== undefined) headers[header] = value;
  }
  if (options.has('--no-repeat')) headers['lagoongap-no-repeat'] = 'true';
  const file = options.text('--body');
  const body = file ? await context.readBytes(file) : await context.input.readStdin();
  const res = await context.client.send({
    method: 'POST',
    path: '/v1/requests',
    headers,
    body,
    retryPolicy: 'only-if-unsent',
    serverWaitMs: context.client.remainingMs,
  });
  // A refusal comes from the cluster; any other status is the response of the endpoint.
  if (readRefusal(res)) CommandContext.requireSuccess(res);
  if (output.json) {
    const text = res.body.toString('base64');
    output.result({ status: res.status, headers: res.headers, bodyBase64: text }, '');
  } else {
    output.raw(res.body);
  }
  if (res.status >= 400) {
    throw new ClientError('workFailed', `the endpoint responded with status ${res.status}`);
  }
}
