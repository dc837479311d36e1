/** One option of a command, in the notation of cac. */
export interface CliOption {
  /** For example `--expect <version>`; without brackets it is a switch. */
  flags: string;
  description: string;
}
