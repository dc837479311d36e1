/* eslint-disable no-await-in-loop -- The steps follow one another. */
// Runs a case: starts the daemons with the command of the deploy file, calls them as clients do, keeps the
// record, and ends all that it started.
import { spawn } from 'node:child_process';
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';

const limitMs = 115_000;
const limits = { maxRecordBytes: 262_144, maxCallBytes: 2_097_152 };

const formatSettings = ({ id, ports, storePort }) => `node_id = "${id}"
role = "siskin-node"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "zone-a"
region = "region-a"
internal_ports = [7000, 7015]
seed_nodes = []
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base", "drain", "config", "cost", "recover", "sched", "tenants", "platform", "advice", "upkeep", "sharing"]
orders = "call"
[zones]
zone-a = "region-a"
[listen]
frontend = "127.0.0.1:${ports[0]}"
readiness = "127.0.0.1:${ports[1]}"
[limits]
cpu_share = 0.675
cpu_cores = 1
memory_mb = 350
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
ack_timeout_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
max_hold_ms = 6000
stop_timeout_ms = 200
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
checkpoint_s = 0.5
restore_ms = 600
fencing_required = true
lease_ms = 3000
reclaim_ms = 2700
[platform]
address = "127.0.0.1:${storePort}"
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 24
append_ms = 1.0
max_record_bytes = ${limits.maxRecordBytes}
max_call_bytes = ${limits.maxCallBytes}
keep_s = 300
`;

const findPorts = async (count) => {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise((resolve) => {
          const server = net.createServer();
          server.listen(0, '127.0.0.1', () => resolve(server));
        }),
    ),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(
    servers.map(
      (server) =>
        new Promise((resolve) => {
          server.close(resolve);
        }),
    ),
  );
  return ports;
};

/** Splits the command of the deploy file and puts in the port of the metrics. */
const readCommand = (root, metricsPort) => {
  const deploy = fs.readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
  const [, command] = /^run = "(.*)"$/m.exec(deploy);
  const words = command.split(' ');
  words[words.indexOf('--metrics-port') + 1] = String(metricsPort);
  return words;
};

const wait = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/**
 * Runs a case in its folder and exits with its result. `play` gets the tools of the case and returns the list
 * of broken rules; it throws when the case couldn't run.
 */
const runCase = async (folder, play) => {
  const root = path.join(folder, '../..');
  const trouble = process.env.TROUBLE !== '0';
  const temporary = fs.mkdtempSync(path.join(os.tmpdir(), 'siskin-review-'));
  const lines = [];
  const children = [];
  const closers = [];
  const startedAt = performance.now();
  let hasEnded = false;
  const record = (line) =>
    lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${line}`);

  const startNode = async (id, storePort) => {
    const ports = await findPorts(3);
    const settingsFile = path.join(temporary, `${id}.toml`);
    fs.writeFileSync(settingsFile, formatSettings({ id, ports, storePort }));
    const node = { id, port: ports[0], readinessPort: ports[1], log: [] };
    const launch = () => {
      const [program, ...args] = readCommand(root, ports[2]);
      const child = spawn(program === 'node' ? process.execPath : program, args, {
        cwd: root,
        stdio: ['ignore', 'pipe', 'pipe'],
        env: { PATH: process.env.PATH, HOME: temporary, SISKINHOLLOW_BOOT: settingsFile },
      });
      child.stdout.on('data', (chunk) => node.log.push(chunk.toString()));
      child.stderr.on('data', (chunk) => node.log.push(chunk.toString()));
      child.on('exit', (code, signal) => record(`${id}: process ended, ${signal ?? code}`));
      children.push(child);
      node.child = child;
      record(`${id}: process started`);
    };
    launch();
    return Object.assign(node, {
      restart: launch,
      /** Starts the process again whenever it ends; returns a function that tells how often it did. */
      keepRunning: (delayMs) => {
        let count = 0;
        const watch = () => {
          node.child.on('exit', () => {
            if (hasEnded) return;
            count += 1;
            setTimeout(() => {
              if (hasEnded) return;
              launch();
              watch();
            }, delayMs);
          });
        };
        watch();
        return () => count;
      },
      kill: (signal) => {
        record(`${id}: gets ${signal}`);
        node.child.kill(signal);
      },
      /** Whether the last line of the log about a term says that this process leads. */
      leads: () => {
        const found = [...node.log.join('').matchAll(/"code":"(term_begun|term_ended)"/g)].at(-1);
        return node.child.exitCode === null && found?.[1] === 'term_begun';
      },
    });
  };

  const call = (port, { method, target, key = 'key-a', body, timeoutMs = 3000 }) =>
    new Promise((resolve) => {
      const text = body === undefined ? '' : JSON.stringify(body);
      const sentAt = performance.now();
      const finish = (status, answer) => {
        const tookMs = Math.round(performance.now() - sentAt);
        record(`client: ${method} ${target} -> ${status} ${JSON.stringify(answer)}, ${tookMs} ms`);
        resolve({ status, answer });
      };
      const request = http.request(
        {
          host: '127.0.0.1',
          port,
          method,
          path: target,
          agent: false,
          headers: {
            host: 'jobs.example',
            'api-key': key,
            'content-type': 'application/json',
            'content-length': text.length,
            'x-request-deadline': String(timeoutMs),
          },
        },
        (response) => {
          const chunks = [];
          response.on('data', (chunk) => chunks.push(chunk));
          response.on('end', () => {
            const content = chunks.join('');
            finish(response.statusCode, content === '' ? {} : JSON.parse(content));
          });
        },
      );
      request.setTimeout(timeoutMs, () => request.destroy(new Error('timeout')));
      request.on('error', (error) => finish(0, { error: error.message }));
      request.end(text);
    });

  /** Waits until the condition holds; throws after the time. */
  const until = async (what, condition, timeoutMs) => {
    const deadline = performance.now() + timeoutMs;
    while (!(await condition())) {
      if (performance.now() > deadline) throw new Error(`${what} was not seen in ${timeoutMs} ms`);
      await wait(20);
    }
  };

  const isReady = (node) =>
    new Promise((resolve) => {
      const request = http.get(
        { host: '127.0.0.1', port: node.readinessPort, path: '/-/ready', agent: false },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      request.on('error', () => resolve(false));
    });

  const tools = {
    trouble,
    limits,
    record,
    wait,
    until,
    isReady,
    startNode,
    call,
    closeAtEnd: (closer) => closers.push(closer),
  };
  let status = 2;
  const timer = setTimeout(() => {
    record('the time of the case is over');
    children.forEach((child) => child.kill('SIGKILL'));
    fs.writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
    process.exit(2);
  }, limitMs);
  ['SIGINT', 'SIGTERM'].forEach((signal) => {
    process.on(signal, () => {
      children.forEach((child) => child.kill('SIGKILL'));
      process.exit(2);
    });
  });
  try {
    const broken = await play(tools);
    broken.forEach((text) => record(`BROKEN ${text}`));
    status = broken.length > 0 ? 1 : 0;
    record(status === 1 ? `${broken.length} broken` : 'no rule broken');
  } catch (error) {
    record(`the case could not run: ${error.stack}`);
  }
  clearTimeout(timer);
  hasEnded = true;
  children.forEach((child) => child.kill('SIGKILL'));
  closers.forEach((close) => close());
  fs.writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
  fs.rmSync(temporary, { recursive: true, force: true });
  process.stdout.write(`${lines.slice(-12).join('\n')}\n`);
  process.exit(status);
};

export default runCase;
