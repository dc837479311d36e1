/** A request to a gateway. */
export interface ApiCall {
  method: string;
  /** Path with the query string. */
  path: string;
  headers?: Readonly<Record<string, string>>;
  body?: string | Buffer;
}
