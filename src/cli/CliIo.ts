/** The outside of `siskin`; a test passes its own. */
export interface CliIo {
  env: Readonly<Record<string, string | undefined>>;
  userName: string;
  writeOut: (data: string | Buffer) => void;
  writeError: (text: string) => void;
  waitMs: (durationMs: number) => Promise<void>;
}
