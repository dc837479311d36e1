/** Secrets known from the configuration file. */
export interface AccessState {
  /** SHA-256 hash, in hexadecimal, of the token that opens everything. */
  rootTokenHash: string;
}
