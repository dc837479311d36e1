import type { IncomingHttpHeaders } from 'node:http';
import type { UntimedEvent } from '../../core/UntimedEvent.js';
import { hashToken } from '../api/hashToken.js';
import { readBearerToken } from '../api/readBearerToken.js';
import type { Caller } from './Caller.js';
import { isIdempotentRequest } from './isIdempotentRequest.js';

const defaultTimeoutMs = 30_000;
const maxTimeoutMs = 3_600_000;

const getHeader = (headers: IncomingHttpHeaders, name: string): string | undefined => {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
};

const parseTimeoutMs = (text: string | undefined): number => {
  const value = Number(text ?? defaultTimeoutMs);
  return Number.isFinite(value) && value > 0 ? Math.min(value, maxTimeoutMs) : defaultTimeoutMs;
};

/** Builds the `callerRequested` event from the headers of a request. */
export const buildCallerRequestedEvent = (caller: Caller): UntimedEvent => {
  const { headers, method = 'GET' } = caller.incoming;
  const key = getHeader(headers, 'idempotency-key');
  return {
    type: 'callerRequested',
    requestId: caller.requestId,
    tokenHash: hashToken(readBearerToken(getHeader(headers, 'authorization')) ?? ''),
    workspace: caller.workspace,
    // Without a header, the first segment of the path is the class.
    requestClass:
      getHeader(headers, 'siskin-class') ?? caller.path.split(/[/?]/)[1] ?? 'unclassified',
    idempotent: isIdempotentRequest(method, getHeader(headers, 'siskin-idempotent')),
    ...(key === undefined ? {} : { idempotencyKey: key }),
    timeoutMs: parseTimeoutMs(getHeader(headers, 'siskin-timeout-ms')),
    // The body is buffered, so another attempt can send it again.
    replayable: true,
  };
};
