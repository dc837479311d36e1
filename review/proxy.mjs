// A TCP proxy on loopback between a daemon and the store. It can make open connections go silent.
import net from 'node:net';

/** Starts the proxy. */
const startProxy = async (targetPort) => {
  const links = new Set();
  let isCut = false;
  const server = net.createServer((client) => {
    const upstream = net.connect(targetPort, '127.0.0.1');
    const link = { client, upstream, silent: false, waitsFor: '' };
    links.add(link);
    client.on('data', (chunk) => {
      const [line] = chunk.toString('latin1').split('\r\n');
      if (/^(GET|POST) /.test(line)) link.waitsFor = line;
      if (!link.silent && !isCut) upstream.write(chunk);
    });
    upstream.on('data', (chunk) => {
      link.waitsFor = '';
      if (!link.silent && !isCut) client.write(chunk);
    });
    const end = () => {
      links.delete(link);
      client.destroy();
      upstream.destroy();
    };
    [client, upstream].forEach((socket) => {
      socket.on('error', end);
      socket.on('close', end);
    });
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    port: server.address().port,
    /**
     * Makes the open connections go silent for good, without a reset, on which a request waits that the condition
     * names; returns these requests. New connections work.
     */
    silence: (isChosen) => {
      const chosen = [...links].filter(({ waitsFor }) => isChosen(waitsFor));
      chosen.forEach((link) => Object.assign(link, { silent: true }));
      return chosen.map(({ waitsFor }) => waitsFor);
    },
    /** Cuts all connections, new ones too: nothing passes. What was held up is lost. */
    setCut: (value) => {
      isCut = value;
      if (value) links.forEach((link) => Object.assign(link, { silent: true }));
    },
    close: () => {
      links.forEach(({ client, upstream }) => {
        client.destroy();
        upstream.destroy();
      });
      server.close();
    },
  };
};

export default startProxy;
