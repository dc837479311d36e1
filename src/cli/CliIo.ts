/** Environment, output streams and timer of `siskin`; tests pass their own. */
export interface CliIo {
  env: Readonly<Record<string, string | undefined>>;
  userName: string;
  writeStdout: (data: string | Buffer) => void;
  writeStderr: (text: string) => void;
  wait: (durationMs: number) => Promise<void>;
}
