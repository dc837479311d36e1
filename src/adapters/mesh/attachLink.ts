import type WebSocket from 'ws';
import type { NodeId } from '../../core/NodeId.js';
import { decodeMessage } from './decodeMessage.js';
import type { MeshOptions } from './MeshOptions.js';

const pingEveryMs = 500;
// A frozen link must be noticed before a peer counts as dead (peerSilenceMs).
const silenceLimitMs = 2000;
const bufferLimitBytes = 8 * 1024 * 1024;

/** Open connections by node. */
type Links = Map<NodeId, WebSocket>;

const watchSilence = (socket: WebSocket): void => {
  let lastHeardAt = performance.now();
  const note = (): void => {
    lastHeardAt = performance.now();
  };
  socket.on('pong', note);
  socket.on('message', note);
  socket.on('ping', note);
  const timer = setInterval(() => {
    const silent = performance.now() - lastHeardAt > silenceLimitMs;
    if (silent || socket.bufferedAmount > bufferLimitBytes) socket.terminate();
    else socket.ping();
  }, pingEveryMs);
  socket.on('close', () => clearInterval(timer));
};

/** Makes an authenticated connection the link to a node and passes its messages on as events. */
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
    // The library rejects frames that are too large or malformed before they are decoded.
    if (error.code?.startsWith('WS_ERR_')) count('message_rejected');
    logger.write('warn', 'link_failed', { node, error: error.message });
  });
  socket.on('close', () => {
    if (links.get(node) !== socket) return;
    links.delete(node);
    push({ type: 'linkClosed', node });
  });
  watchSilence(socket);
  push({ type: 'linkOpened', node, zone });
};
