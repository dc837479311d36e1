import { runCli } from '../../src/cli/runCli.js';

/** Runs one command line in this process and collects what it prints. */
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
