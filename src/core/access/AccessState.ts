/** Credentials from the configuration file. */
export interface AccessState {
  /** SHA-256 hash, in hexadecimal, of the root token, which grants full access. */
  rootTokenHash: string;
}
