/** A complete answer of a gateway. */
export interface ApiAnswer {
  status: number;
  contentType: string;
  body: Buffer;
}
