/** An invalid field of a configuration file. */
export interface ConfigIssue {
  /** Dotted path of the field, for example `vm.0.host`; empty for the file as a whole. */
  path: string;
  /** Value as written; secrets are replaced by `(hidden)`. */
  value: string;
  /** Description of a valid value. */
  expected: string;
}
