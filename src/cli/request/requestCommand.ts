import fs from 'node:fs';
import { err, ok, type Result } from 'neverthrow';
import type { CliCommand } from '../CliCommand.js';
import type { CliContext } from '../CliContext.js';
import type { CliError } from '../CliError.js';
import { readProblem } from '../http/readProblem.js';

const readBody = (file: string | undefined): Result<Buffer | undefined, CliError> => {
  if (file === undefined) return ok(undefined);
  try {
    return ok(fs.readFileSync(file));
  } catch (error) {
    const hint = 'Give a readable file.';
    return err({ type: 'usage', message: `${file}: ${(error as Error).message}`, hint });
  }
};

/** HTTP header that each option sets. */
const headerNames: Readonly<Record<string, string>> = {
  key: 'idempotency-key',
  'timeout-ms': 'siskin-timeout-ms',
  idempotent: 'siskin-idempotent',
  type: 'content-type',
};

const buildHeaders = ({ options }: Pick<CliContext, 'options'>): Record<string, string> =>
  Object.fromEntries(
    Object.entries(options)
      .filter(([name]) => headerNames[name] !== undefined)
      .map(([name, text]) => [headerNames[name] ?? name, text]),
  );

/** Sends a short request and prints the body of the worker's response unchanged. */
export const requestCommand: CliCommand = {
  name: 'request',
  args: '<method> <path>',
  description: 'Send a short request to a workspace and print the response',
  options: [
    { flags: '--body <file>', description: 'File with the request body' },
    { flags: '--type <type>', description: 'Content type of the request body' },
    { flags: '--key <key>', description: 'Idempotency key' },
    {
      flags: '--idempotent <boolean>',
      description: 'true or false; overrides what the method implies',
    },
    { flags: '--timeout-ms <ms>', description: 'Response timeout in milliseconds' },
  ],
  examples: [
    'GET /w/labels/models',
    'POST /w/labels/read --body label.json --type application/json --key label-9',
  ],
  run: async (context) => {
    const [method = '', path = ''] = context.args;
    const body = readBody(context.options.body);
    if (body.isErr()) return err(body.error);
    const response = await context.sendCall({
      method: method.toUpperCase(),
      path: path.startsWith('/') ? path : `/${path}`,
      headers: buildHeaders(context),
      ...(body.value === undefined ? {} : { body: body.value }),
    });
    return response.andThen((value) => {
      const problem = readProblem(value);
      if (problem) return err<never, CliError>({ type: 'refused', problem });
      const { status, contentType } = value;
      const data = { status, contentType, body: value.body.toString() };
      return ok({ data, view: value.body, exit: status < 400 ? 'ok' : 'answer-error' } as const);
    });
  },
};
