import type { IncomingMessage } from 'node:http';
import WebSocket, { WebSocketServer } from 'ws';
import { getOwnNodeId } from '../../core/getOwnNodeId.js';
import type { NodeId } from '../../core/NodeId.js';
import { attachLink } from './attachLink.js';
import { dialPeer } from './dialPeer.js';
import { encodeMessage } from './encodeMessage.js';
import { isDialer } from './isDialer.js';
import { hasMeshSecret } from './hasMeshSecret.js';
import { maxMessageBytes } from './maxMessageBytes.js';
import type { Mesh } from './Mesh.js';
import type { MeshOptions } from './MeshOptions.js';
import type { MeshPeer } from './MeshPeer.js';

const findPeer = (options: MeshOptions, request: IncomingMessage): MeshPeer | undefined =>
  options.peers.find((peer) => peer.node === request.headers['siskin-node']);

const checkConnection = (options: MeshOptions, request: IncomingMessage): boolean => {
  const accepted =
    hasMeshSecret(request.headers.authorization, options.secret) &&
    findPeer(options, request) !== undefined;
  if (!accepted) {
    options.count('message_rejected');
    options.logger.write('warn', 'connection_refused', {
      remote: request.socket.remoteAddress,
      node: request.headers['siskin-node'],
    });
  }
  return accepted;
};

const createServer = (options: MeshOptions, links: Map<NodeId, WebSocket>): WebSocketServer => {
  const server = new WebSocketServer({
    host: options.listen.host,
    port: options.listen.port,
    maxPayload: maxMessageBytes,
    perMessageDeflate: false,
    verifyClient: ({ req }: { req: IncomingMessage }) => checkConnection(options, req),
  });
  server.on('connection', (socket, request) => {
    const peer = findPeer(options, request);
    if (peer) attachLink(options, links, peer, socket);
  });
  server.on('error', (error) => {
    options.logger.write('error', 'mesh_failed', { error: error.message });
    process.exit(1);
  });
  return server;
};

/** Creates the mesh of one daemon: listens for its peers and dials some of them. */
export const createMesh = (options: MeshOptions): Mesh => {
  const links = new Map<NodeId, WebSocket>();
  const server = createServer(options, links);
  const self = { node: getOwnNodeId(options.self), zone: options.self.zone };
  const stopDialers = options.peers
    .filter((peer) => isDialer(self, peer))
    .map((peer) => dialPeer(options, links, peer));
  return {
    runners: {
      send: ({ to, message }) => {
        const socket = links.get(to);
        if (socket?.readyState === WebSocket.OPEN) socket.send(encodeMessage(message));
      },
    },
    close: () => {
      stopDialers.forEach((stop) => stop());
      links.forEach((socket) => socket.close());
      server.close();
    },
  };
};
