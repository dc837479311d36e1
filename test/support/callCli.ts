import { runCli } from '../../src/cli/runCli.js';

/** Runs one command line in this process and collects what it prints. */
export const callCli = async (url: string, ...argv: string[]) => {
  let out = '';
  let errors = '';
  const code = await runCli(argv, {
    env: { SISKIN_URL: url, SISKIN_TOKEN: 'secret' },
    userName: 'ada',
    writeOut: (data) => {
      out += data.toString();
    },
    writeError: (text) => {
      errors += text;
    },
    waitMs: () => Promise.resolve(),
  });
  return { code, out, errors };
};
