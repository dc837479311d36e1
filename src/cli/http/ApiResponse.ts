/** A complete answer of a gateway. */
export interface ApiResponse {
  status: number;
  contentType: string;
  body: Buffer;
}
