/** An option of a command, in the notation of the cac package. */
export interface CliOption {
  /** For example `--expect <version>`; without brackets it is a switch. */
  flags: string;
  description: string;
}
