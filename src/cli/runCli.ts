import { err, type Result } from 'neverthrow';
import type { CliError } from './CliError.js';
import type { ParsedCommandLine } from './ParsedCommandLine.js';
import type { CliIo } from './CliIo.js';
import type { CliOutput } from './CliOutput.js';
import { exitCodes } from './exitCodes.js';
import { findExitReason } from './findExitReason.js';
import type { ApiResponse } from './http/ApiResponse.js';
import type { ApiCall } from './http/ApiCall.js';
import { sendApiCall } from './http/sendApiCall.js';
import { formatCliError } from './output/formatCliError.js';
import { formatOutput } from './output/formatOutput.js';
import { parseCommandLine } from './parseCommandLine.js';

type ParsedCommand = Extract<ParsedCommandLine, { kind: 'command' }>;

const sendWithToken = (
  input: ParsedCommand,
  io: CliIo,
  call: ApiCall,
): Promise<Result<ApiResponse, CliError>> => {
  const url = input.options.url ?? io.env.SISKIN_URL ?? 'http://127.0.0.1:8080';
  const token = input.options.token ?? io.env.SISKIN_TOKEN ?? '';
  if (token !== '') return sendApiCall({ url, token }, call);
  const hint = 'Set SISKIN_TOKEN, or give --token.';
  return Promise.resolve(err({ type: 'usage', message: 'no access token', hint }));
};

const runCommand = (input: ParsedCommand, io: CliIo): Promise<Result<CliOutput, CliError>> =>
  input.command.run({
    args: input.args,
    options: input.options,
    switches: input.switches,
    sendCall: (call) => sendWithToken(input, io, call),
    printProgress: (line) => io.writeStderr(`${line}\n`),
    wait: io.wait,
    userName: io.userName,
  });

const printError = (error: CliError, json: boolean, io: CliIo): number => {
  io.writeStderr(json ? `${JSON.stringify({ error })}\n` : formatCliError(error));
  return exitCodes[findExitReason(error)].code;
};

/** Runs a command line and returns its exit code. */
export const runCli = async (argv: readonly string[], io: CliIo): Promise<number> => {
  const input = parseCommandLine(argv);
  if (input.isErr()) return printError(input.error, false, io);
  if (input.value.kind === 'help') {
    io.writeStdout(input.value.text);
    return exitCodes.ok.code;
  }
  const json = input.value.switches.has('json');
  const result = await runCommand(input.value, io);
  if (result.isErr()) return printError(result.error, json, io);
  io.writeStdout(formatOutput(result.value, json));
  return exitCodes[result.value.exit ?? 'ok'].code;
};
