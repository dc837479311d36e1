import { err, type Result } from 'neverthrow';
import type { CliError } from './CliError.js';
import type { CliInput } from './CliInput.js';
import type { CliIo } from './CliIo.js';
import type { CliOutput } from './CliOutput.js';
import { exitCodes } from './exitCodes.js';
import { findErrorExit } from './findErrorExit.js';
import type { ApiAnswer } from './http/ApiAnswer.js';
import type { ApiCall } from './http/ApiCall.js';
import { sendApiCall } from './http/sendApiCall.js';
import { formatCliError } from './output/formatCliError.js';
import { formatView } from './output/formatView.js';
import { parseCommandLine } from './parseCommandLine.js';

type CommandInput = Extract<CliInput, { kind: 'command' }>;

const sendWithToken = (
  input: CommandInput,
  io: CliIo,
  call: ApiCall,
): Promise<Result<ApiAnswer, CliError>> => {
  const url = input.options.url ?? io.env.SISKIN_URL ?? 'http://127.0.0.1:8080';
  const token = input.options.token ?? io.env.SISKIN_TOKEN ?? '';
  if (token !== '') return sendApiCall({ url, token }, call);
  const hint = 'Set SISKIN_TOKEN, or give --token.';
  return Promise.resolve(err({ type: 'usage', message: 'no token', hint }));
};

const runCommand = (input: CommandInput, io: CliIo): Promise<Result<CliOutput, CliError>> =>
  input.command.run({
    args: input.args,
    options: input.options,
    switches: input.switches,
    sendCall: (call) => sendWithToken(input, io, call),
    printProgress: (line) => io.writeError(`${line}\n`),
    waitMs: io.waitMs,
    userName: io.userName,
  });

const printError = (error: CliError, json: boolean, io: CliIo): number => {
  io.writeError(json ? `${JSON.stringify({ error })}\n` : formatCliError(error));
  return exitCodes[findErrorExit(error)].code;
};

/** Runs one command line and returns the exit code. */
export const runCli = async (argv: readonly string[], io: CliIo): Promise<number> => {
  const input = parseCommandLine(argv);
  if (input.isErr()) return printError(input.error, false, io);
  if (input.value.kind === 'help') {
    io.writeOut(input.value.text);
    return exitCodes.ok.code;
  }
  const json = input.value.switches.has('json');
  const result = await runCommand(input.value, io);
  if (result.isErr()) return printError(result.error, json, io);
  io.writeOut(formatView(result.value, json));
  return exitCodes[result.value.exit ?? 'ok'].code;
};
