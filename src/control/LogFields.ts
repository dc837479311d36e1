/** Fields of a log line: the inputs and the outcome of a decision, as scalars and short texts. */
export type LogFields = Record<string, string | number | boolean | null | undefined>;
