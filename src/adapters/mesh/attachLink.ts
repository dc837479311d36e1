import type WebSocket from 'ws';
import type { NodeId } from '../../core/NodeId.js';
import { decodeMessage } from './decodeMessage.js';
import type { MeshOptions } from './MeshOptions.js';

const pingIntervalMs = 500;
// Below `peerSilenceMs`: a stalled link must be closed before its peer counts as failed.
const silenceTimeoutMs = 2000;
// A link whose peer reads too slowly is closed, so that unsent messages do not fill the memory.
const maxBufferedBytes = 8 * 1024 * 1024;

/** Open connections by node. */
type Links = Map<NodeId, WebSocket>;

/** Closes a connection on which nothing is received, or whose messages are not read. */
const watchLiveness = (socket: WebSocket): void => {
  let lastReceivedAtMs = performance.now();
  const recordActivity = (): void => {
    lastReceivedAtMs = performance.now();
  };
  socket.on('pong', recordActivity);
  socket.on('message', recordActivity);
  socket.on('ping', recordActivity);
  const timer = setInterval(() => {
    const silent = performance.now() - lastReceivedAtMs > silenceTimeoutMs;
    if (silent || socket.bufferedAmount > maxBufferedBytes) socket.terminate();
    else socket.ping();
  }, pingIntervalMs);
  socket.on('close', () => clearInterval(timer));
};

/**
 * Registers an authenticated connection as the link to a node, in place of an earlier one; its
 * messages become events.
 */
export const attachLink = (
  options: MeshOptions,
  links: Links,
  peer: { node: NodeId; zone: string },
  socket: WebSocket,
): void => {
  const { node, zone } = peer;
  const { push, count, logger } = options;
  const previous = links.get(node);
  links.set(node, socket);
  if (previous) {
    previous.terminate();
    push({ type: 'linkClosed', node });
  }
  socket.on('message', (data) => {
    if (links.get(node) !== socket) return;
    decodeMessage(data as Buffer).match(
      (message) => push({ ...message, from: node }),
      (error) => {
        count('message_rejected');
        logger.write('warn', 'message_rejected', { node, error: error.kind, detail: error.detail });
        socket.terminate();
      },
    );
  });
  socket.on('error', (error: Error & { code?: string }) => {
    // The WebSocket library rejects oversized and malformed frames before they are decoded.
    if (error.code?.startsWith('WS_ERR_')) count('message_rejected');
    logger.write('warn', 'link_failed', { node, error: error.message });
  });
  socket.on('close', () => {
    if (links.get(node) !== socket) return;
    links.delete(node);
    push({ type: 'linkClosed', node });
  });
  watchLiveness(socket);
  push({ type: 'linkOpened', node, zone });
};
