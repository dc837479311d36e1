import { runCli } from '../../src/cli/runCli.js';

/** Runs a command line of the CLI in this process and collects its output. */
export const callCli = async (url: string, ...argv: string[]) => {
  let stdout = '';
  let stderr = '';
  const code = await runCli(argv, {
    env: { SISKIN_URL: url, SISKIN_TOKEN: 'secret' },
    userName: 'ada',
    writeStdout: (data) => {
      stdout += data.toString();
    },
    writeStderr: (text) => {
      stderr += text;
    },
    wait: () => Promise.resolve(),
  });
  return { code, out: stdout, errors: stderr };
};
