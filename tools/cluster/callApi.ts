import { request } from 'undici';

/** Response of the control API or of a stand-in. */
interface ApiResponse {
  status: number;
  data: unknown;
}

const parseText = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
};

/** Sends an HTTP request with an optional JSON body to a process of the cluster. */
export const callApi = async (
  port: number,
  method: 'GET' | 'POST' | 'PUT' | 'DELETE',
  path: string,
  options: { token?: string; body?: unknown; headers?: Record<string, string> } = {},
): Promise<ApiResponse> => {
  const { statusCode, body } = await request(`http://127.0.0.1:${port}${path}`, {
    method,
    headers: {
      ...(options.token === undefined ? {} : { authorization: `Bearer ${options.token}` }),
      ...(options.body === undefined ? {} : { 'content-type': 'application/json' }),
      ...options.headers,
    },
    ...(options.body === undefined ? {} : { body: JSON.stringify(options.body) }),
  });
  return { status: statusCode, data: parseText(await body.text()) };
};
