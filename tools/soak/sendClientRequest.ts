import { Agent, request } from 'undici';

// Clients reuse open connections as long as the daemon keeps them open.
const agent = new Agent({ keepAliveTimeout: 30_000, connections: 16 });
const deadlineMs = 3000;

interface ClientResponse {
  /** HTTP status; 0 if there was no answer. */
  status: number;
  body: Record<string, unknown>;
}

/** Sends a client's request to a VM; the client closes the connection after the timeout. */
export const sendClientRequest = async (
  port: number,
  method: 'GET' | 'POST' | 'DELETE',
  path: string,
  body?: unknown,
  timeoutMs = deadlineMs,
): Promise<ClientResponse> => {
  try {
    const response = await request(`http://127.0.0.1:${port}${path}`, {
      dispatcher: agent,
      method,
      headers: {
        host: 'h',
        'api-key': 'key',
        'content-type': 'application/json',
        'x-request-deadline': String(deadlineMs),
      },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(Math.ceil(timeoutMs)),
    });
    return {
      status: response.statusCode,
      body: (await response.body.json()) as ClientResponse['body'],
    };
  } catch {
    // No answer or an incomplete one; the outcome is unknown.
    return { status: 0, body: {} };
  }
};
