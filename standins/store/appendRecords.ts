import type { StoreEvent } from './StoreEvent.js';
import type { TopicState } from './TopicState.js';

type Append = Extract<StoreEvent, { type: 'appendRequested' }>;

interface Answer {
  status: number;
  body: Record<string, unknown>;
}

const answerDone = (offset: number, end: number): Answer => ({
  status: 200,
  body: { offset, end_offset: end },
});

/** Why the producer's append is not done now, or the answer to its repeat; null if it is due. */
const checkProducer = (topic: TopicState, producer: Append['producer']): Answer | null => {
  const last = producer && topic.producers.get(producer.name);
  if (!last) return null;
  if (producer.epoch < last.epoch) return { status: 409, body: { reason: 'fenced' } };
  if (producer.epoch > last.epoch) return null;
  if (producer.sequence === last.sequence) return answerDone(last.offset, last.end);
  if (producer.sequence === last.sequence + 1) return null;
  return { status: 409, body: { reason: 'seq', expected: last.sequence + 1 } };
};

/** Appends all records or none, under the conditions of the call. */
export const appendRecords = (topic: TopicState, { endsAt, producer, records }: Append): Answer => {
  const offset = topic.records.length;
  if (endsAt !== null && endsAt !== offset) return { status: 412, body: { end_offset: offset } };
  const refusal = checkProducer(topic, producer);
  if (refusal) return refusal;
  topic.records.push(...records);
  const end = topic.records.length;
  if (producer) {
    const { name, epoch, sequence } = producer;
    topic.producers.set(name, { epoch, sequence, offset, end });
  }
  return answerDone(offset, end);
};
