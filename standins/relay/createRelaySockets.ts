import { connect, type Socket } from 'node:net';
import type { EffectRunners } from '../shared/EffectRunners.js';
import type { HttpEffect } from '../shared/HttpEffect.js';
import type { Push } from '../shared/Push.js';
import type { RelayEffect } from './RelayEffect.js';
import type { RelayEvent } from './RelayEvent.js';
import type { RelaySide } from './RelaySide.js';

type SocketEffect = Exclude<RelayEffect, HttpEffect>;

/** Creates the runners of socket effects, and the function that adds a client's socket. */
export const createRelaySockets = (
  push: Push<RelayEvent>,
  target: { host: string; port: number; localAddress: string },
): { runners: EffectRunners<SocketEffect>; addClient: (socket: Socket) => void } => {
  const sockets = new Map<string, Socket>();
  let connectionCount = 0;
  const findSocket = ({ connectionId, side }: { connectionId: string; side: RelaySide }) =>
    sockets.get(`${connectionId}/${side}`);
  const attach = (socket: Socket, connectionId: string, side: RelaySide) => {
    sockets.set(`${connectionId}/${side}`, socket);
    socket.setNoDelay(true);
    socket.on('data', (data) => push({ type: 'dataRead', connectionId, side, data }));
    // The data listener resumes the socket; reading has to wait for a `setReading` effect.
    socket.pause();
    socket.on('end', () => push({ type: 'sideEnded', connectionId, side }));
    socket.on('drain', () => push({ type: 'writeDrained', connectionId, side }));
    // The `close` event that follows reports the failure.
    socket.on('error', () => {});
    socket.on('close', (failed) => {
      sockets.delete(`${connectionId}/${side}`);
      push({ type: 'sideClosed', connectionId, side, failed });
    });
  };
  return {
    addClient: (socket) => {
      connectionCount += 1;
      const connectionId = `c${connectionCount}`;
      attach(socket, connectionId, 'client');
      push({ type: 'connectionOpened', connectionId });
    },
    runners: {
      openTarget: ({ connectionId }) =>
        attach(connect({ ...target, allowHalfOpen: true }), connectionId, 'target'),
      setReading: (effect) => {
        if (effect.reading) findSocket(effect)?.resume();
        else findSocket(effect)?.pause();
      },
      writeData: (effect) => {
        const socket = findSocket(effect);
        if (!socket?.writable || socket.write(effect.data)) return;
        push({ type: 'writeBlocked', connectionId: effect.connectionId, side: effect.side });
      },
      endSide: (effect) => findSocket(effect)?.end(),
      resetSide: (effect) => findSocket(effect)?.resetAndDestroy(),
    },
  };
};
