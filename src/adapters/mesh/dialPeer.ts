import WebSocket from 'ws';
import type { NodeId } from '../../core/NodeId.js';
import { attachLink } from './attachLink.js';
import type { MeshOptions } from './MeshOptions.js';
import type { MeshPeer } from './MeshPeer.js';
import { maxMessageBytes } from './maxMessageBytes.js';

const redialDelayMs = 250;
const handshakeTimeoutMs = 1000;

/** Connects to a peer and reconnects after a close; returns a function that stops this. */
export const dialPeer = (
  options: MeshOptions,
  links: Map<NodeId, WebSocket>,
  peer: MeshPeer,
): (() => void) => {
  let stopped = false;
  let timer: NodeJS.Timeout | undefined;
  const dial = (): void => {
    const { self, secret } = options;
    const host = peer.host.includes(':') ? `[${peer.host}]` : peer.host;
    const socket = new WebSocket(`ws://${host}:${peer.port}`, {
      handshakeTimeout: handshakeTimeoutMs,
      maxPayload: maxMessageBytes,
      perMessageDeflate: false,
      headers: {
        authorization: `Bearer ${secret}`,
        'siskin-node': `${self.vmId}/${self.role}`,
      },
    });
    // Not logged: while a peer is down, every attempt fails.
    socket.on('error', () => undefined);
    socket.on('open', () => attachLink(options, links, peer, socket));
    socket.on('close', () => {
      if (!stopped) timer = setTimeout(dial, redialDelayMs);
    });
  };
  dial();
  return () => {
    stopped = true;
    clearTimeout(timer);
  };
};
