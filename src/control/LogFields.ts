/** Inputs and outcome of a decision; scalars and short texts only. */
export type LogFields = Record<string, string | number | boolean | null | undefined>;
