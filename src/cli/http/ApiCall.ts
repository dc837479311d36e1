/** One request to a gateway. */
export interface ApiCall {
  method: string;
  /** Path with query. */
  path: string;
  headers?: Readonly<Record<string, string>>;
  body?: string | Buffer;
}
