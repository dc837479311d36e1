import type { ServerResponse } from 'node:http';
import type { Dispatcher } from 'undici';
import type { UntimedEvent } from '../../core/UntimedEvent.js';
import type { Attempt } from './Attempt.js';
import { filterHeaders } from './filterHeaders.js';

// Lower statuses are informational, such as 100, and are followed by the response.
const firstFinalStatus = 200;

/**
 * Creates the undici handler of one attempt. The response is paused after its headers until the
 * core relays it; from then on it is read only as fast as the caller accepts it.
 */
export const createAttemptHandler = (
  attempt: Attempt,
  outgoing: ServerResponse,
  push: (event: UntimedEvent) => void,
): Dispatcher.DispatchHandler => {
  const { requestId, attemptId } = attempt;
  return {
    onRequestStart: (controller) => {
      if (attempt.phase !== 'notSent' || attempt.abandoned) {
        // undici may resend a request after a lost connection; an attempt is sent only once.
        controller.abort(new Error('attempt was already sent or abandoned'));
        return;
      }
      attempt.controller = controller;
      attempt.phase = 'sent';
      push({ type: 'attemptSent', requestId, attemptId });
    },
    onResponseStart: (controller, status, headers) => {
      if (status < firstFinalStatus) return;
      attempt.phase = 'headers';
      attempt.status = status;
      attempt.headers = filterHeaders(headers);
      controller.pause();
      push({ type: 'attemptHeaders', requestId, attemptId, status });
    },
    onResponseData: (controller, chunk) => {
      if (!attempt.relayed || outgoing.write(chunk)) return;
      controller.pause();
      outgoing.once('drain', () => controller.resume());
    },
    onResponseEnd: () => {
      if (!attempt.relayed) return;
      outgoing.end(() => push({ type: 'attemptEnded', requestId, attemptId }));
    },
    onResponseError: (_controller, error) => {
      push({
        type: 'attemptFailed',
        requestId,
        attemptId,
        phase: attempt.phase,
        error: error.message,
      });
    },
  };
};
