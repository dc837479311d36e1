import { execFile } from 'node:child_process';

/** Exit code and output of a run of `siskin`. */
interface CliRun {
  code: number;
  stdout: string;
  stderr: string;
}

/** Runs `siskin` against a gateway. */
export const runCli = (httpPort: number, token: string, args: string[]): Promise<CliRun> =>
  new Promise((resolve) => {
    const env = {
      ...process.env,
      SISKIN_URL: `http://127.0.0.1:${httpPort}`,
      SISKIN_TOKEN: token,
    };
    execFile(
      process.execPath,
      ['dist/src/bin/siskin.js', ...args],
      { env },
      (error, stdout, stderr) => {
        resolve({ code: error ? Number(error.code ?? 1) : 0, stdout, stderr });
      },
    );
  });
