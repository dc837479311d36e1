/** Reads the token of an `Authorization: Bearer` header. */
export const readBearerToken = (header: string | undefined): string | undefined =>
  /^Bearer +(\S+) *$/i.exec(header ?? '')?.[1];
