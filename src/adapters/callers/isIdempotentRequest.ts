const idempotentMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']);

const headerValues: Readonly<Record<string, boolean>> = { true: true, false: false };

/** Tells whether a request may run twice: by its `siskin-idempotent` header, else by its method. */
export const isIdempotentRequest = (method: string, header: string | undefined): boolean =>
  headerValues[header ?? ''] ?? idempotentMethods.has(method);
