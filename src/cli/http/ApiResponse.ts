/** A complete response of a gateway. */
export interface ApiResponse {
  status: number;
  contentType: string;
  body: Buffer;
}
