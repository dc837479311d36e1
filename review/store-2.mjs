// Stand-in of the platform's store: topics of keyed records over HTTP/1.1, as PROTOCOL.md describes them.
// Only partition 0 of each topic is served, which is all that the system uses.
/* eslint-disable no-param-reassign -- topics are updated in place. */
import { Buffer } from 'node:buffer';
import http from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout } from 'node:timers';
import { URL } from 'node:url';

const maxRecordBytes = 262_144;
const maxCallBytes = 2_097_152;
const keepMs = 20_000;
const answerMs = 4;
const appendMs = 1;
const bytesPerMs = 20_000;
const maxWaitingMs = 2000;
const pageItems = 500;
const pageBytes = 1_000_000;
const remembered = 5;

const readBody = (request) =>
  new Promise((resolve) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => resolve(Buffer.concat(chunks)));
  });

const decodeRecords = (body) => {
  const records = [];
  let position = 0;
  while (position + 4 <= body.length) {
    const bytes = body.readUInt32BE(position);
    const content = body.subarray(position + 4, position + 4 + bytes);
    const keyBytes = content.readUInt8(0);
    records.push({
      bytes,
      key: content.toString('utf8', 1, 1 + keyBytes),
      value: content.subarray(1 + keyBytes),
    });
    position += 4 + bytes;
  }
  return records;
};

const encodeRecord = ({ key, value }) => {
  const keyBytes = Buffer.from(key);
  const header = Buffer.alloc(5);
  header.writeUInt32BE(1 + keyBytes.length + value.length, 0);
  header.writeUInt8(keyBytes.length, 4);
  return Buffer.concat([header, keyBytes, value]);
};

const createTopic = () => ({
  first: 0,
  records: [],
  newest: new Map(),
  producers: new Map(),
  busyUntil: 0,
  polls: [],
});

/** Starts a store on a free loopback port. */
const startStore = async (record) => {
  const topics = new Map();
  const sockets = new Set();
  let outage = null;
  let lastConditionalWriter = null;

  const getTopic = (name) => {
    if (!topics.has(name)) topics.set(name, createTopic());
    return topics.get(name);
  };
  const endOf = (topic) => topic.first + topic.records.length;

  const send = (response, status, body, afterMs = answerMs) => {
    const bytes = Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body));
    setTimeout(() => {
      if (response.destroyed) return;
      response.writeHead(status, { 'content-length': bytes.length });
      response.end(bytes);
    }, afterMs);
  };

  /** Handles a call to a topic that is down; returns whether it is. */
  const refuse = (request, response, name) => {
    const isDown = outage !== null && (outage.topics === null || outage.topics.includes(name));
    if (!isDown) return false;
    if (outage.how === 'busy') send(response, 503, {});
    else if (outage.how === 'reset') request.socket.resetAndDestroy();
    // A silent store leaves the call without an answer.
    return true;
  };

  const expire = (topic, now) => {
    let count = 0;
    while (count < topic.records.length && topic.records[count].at < now - keepMs) count += 1;
    topic.records.splice(0, count);
    topic.first += count;
  };

  const answerRead = (topic, { from, maxBytes, response }) => {
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(endOf(topic)), 0);
    header.writeBigUInt64BE(BigInt(topic.first), 8);
    const parts = [header];
    let bytes = 0;
    topic.records.slice(from - topic.first).every((item) => {
      const encoded = encodeRecord(item);
      if (parts.length > 1 && bytes + encoded.length > maxBytes) return false;
      parts.push(encoded);
      bytes += encoded.length;
      return true;
    });
    send(response, 200, Buffer.concat(parts));
  };

  const wakePolls = (topic) => {
    const due = topic.polls.filter(({ from }) => endOf(topic) > from);
    topic.polls = topic.polls.filter((poll) => !due.includes(poll));
    due.forEach((poll) => answerRead(topic, poll));
  };

  const addRecords = (topic, records) => {
    const now = performance.now();
    const offset = endOf(topic);
    records.forEach(({ key, value }, index) => {
      topic.records.push({ key, value, at: now });
      if (value.length === 0) topic.newest.delete(key);
      else topic.newest.set(key, { value, offset: offset + index });
    });
    expire(topic, now);
    return { offset, end_offset: endOf(topic) };
  };

  const checkProducer = (topic, name, epoch, sequence) => {
    const producer = topic.producers.get(name);
    if (!producer || epoch > producer.epoch) return null;
    if (epoch < producer.epoch) return { status: 409, body: { reason: 'fenced' } };
    const repeated = producer.answers.find((answer) => answer.sequence === sequence);
    if (repeated) return { status: 200, body: repeated.body };
    if (sequence === producer.sequence + 1) return null;
    return { status: 409, body: { reason: 'seq', expected: producer.sequence + 1 } };
  };

  const noteProducer = (topic, name, epoch, sequence, body) => {
    const producer = topic.producers.get(name);
    const answers = producer?.epoch === epoch ? producer.answers : [];
    answers.push({ sequence, body });
    topic.producers.set(name, { epoch, sequence, answers: answers.slice(-remembered) });
  };

  const append = async (request, response, query) => {
    const body = await readBody(request);
    const name = query.get('topic');
    if (refuse(request, response, name)) return;
    const topic = getTopic(name);
    const now = performance.now();
    if (topic.busyUntil - now > maxWaitingMs) {
      send(response, 503, {});
      return;
    }
    const records = decodeRecords(body);
    const total = records.reduce((sum, { bytes }) => sum + bytes, 0);
    const largest = Math.max(0, ...records.map(({ bytes }) => bytes));
    if (total > maxCallBytes || largest > maxRecordBytes) {
      record('store refuses an append that is too large', {
        topic: name,
        records: records.length,
        total,
        largest,
      });
      send(response, 400, {});
      return;
    }
    const at = query.get('at');
    if (at !== null && Number(at) !== endOf(topic)) {
      send(response, 412, { end_offset: endOf(topic) });
      return;
    }
    const producer = query.get('producer');
    const epoch = Number(query.get('epoch'));
    const sequence = Number(query.get('seq_no'));
    if (producer !== null) {
      const answer = checkProducer(topic, producer, epoch, sequence);
      if (answer) {
        send(response, answer.status, answer.body);
        return;
      }
    }
    if (at !== null || producer !== null) {
      lastConditionalWriter =
        /edge-\d+/.exec(body.toString('latin1'))?.[0] ?? lastConditionalWriter;
    }
    const result = addRecords(topic, records);
    if (producer !== null) noteProducer(topic, producer, epoch, sequence, result);
    topic.busyUntil = Math.max(now, topic.busyUntil) + appendMs + body.length / bytesPerMs;
    send(response, 200, result, answerMs + topic.busyUntil - now);
    wakePolls(topic);
  };

  const read = (request, response, query) => {
    const name = query.get('topic');
    if (refuse(request, response, name)) return;
    const topic = getTopic(name);
    const from = Number(query.get('from'));
    if (from < topic.first) {
      send(response, 410, { first: topic.first });
      return;
    }
    const poll = { from, maxBytes: Number(query.get('max_kb') ?? 1024) * 1024, response, name };
    const waitMs = Number(query.get('wait_ms') ?? 0);
    if (endOf(topic) > from || waitMs === 0) {
      answerRead(topic, poll);
      return;
    }
    topic.polls.push(poll);
    setTimeout(() => {
      if (!topic.polls.includes(poll)) return;
      topic.polls = topic.polls.filter((other) => other !== poll);
      answerRead(topic, poll);
    }, waitMs);
  };

  const list = (request, response, query) => {
    const name = query.get('topic');
    if (refuse(request, response, name)) return;
    const topic = getTopic(name);
    const after = query.get('after') ?? '';
    const keys = [...topic.newest.keys()].filter((key) => key > after).sort();
    const items = [];
    let bytes = 0;
    keys.slice(0, pageItems).every((key) => {
      const { value, offset } = topic.newest.get(key);
      if (items.length > 0 && bytes + value.length > pageBytes) return false;
      items.push({ key, value: value.toString('base64'), offset });
      bytes += value.length;
      return true;
    });
    send(response, 200, {
      items,
      has_more: items.length < keys.length,
      end_offset: endOf(topic),
    });
  };

  const handlers = { '/-/log-append': append, '/-/log-read': read, '/-/log-newest': list };
  const server = http.createServer({ keepAliveTimeout: 0 }, (request, response) => {
    const url = new URL(request.url, 'http://store');
    const handler = handlers[url.pathname];
    if (handler) handler(request, response, url.searchParams);
    else send(response, 404, {});
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });

  return {
    port: server.address().port,
    /** What the operator and the workers write. */
    put: (name, key, value) => {
      const topic = getTopic(name);
      const bytes = value === null ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
      addRecords(topic, [{ key, value: bytes }]);
      wakePolls(topic);
    },
    /** The store is down: all of it (`topics` null) or only these topics; `how` is silent, busy or reset. */
    setOutage: (next) => {
      outage = next;
      record('store outage', next ?? { ended: true });
      if (!next) return;
      // Reads that wait when the outage begins get no answer.
      topics.forEach((topic, name) => {
        if (next.topics === null || next.topics.includes(name)) topic.polls = [];
      });
    },
    /** Machine that last wrote under a condition and named itself. */
    getLastConditionalWriter: () => lastConditionalWriter,
    close: () => {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  };
};

export default startStore;
