/** A request of the control API, independent of the HTTP library. */
export interface ApiRequest {
  params: Readonly<Record<string, string>>;
  query: Readonly<Record<string, string>>;
  getHeader: (name: string) => string | undefined;
  /** Parsed JSON; undefined when the body is empty. */
  body: unknown;
}
