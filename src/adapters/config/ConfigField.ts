/** One field of the configuration file, as its schema describes it. */
export interface ConfigField {
  /** Dotted path; `[]` marks an entry of a list, for example `vm[].host`. */
  path: string;
  /** Unit and meaning. */
  description: string;
  /** Default as written in TOML; absent when the field has none. */
  default?: string;
  required: boolean;
}
