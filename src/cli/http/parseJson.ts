import { err, ok, type Result } from 'neverthrow';

/** Parses JSON without throwing; the error is the parser's message. */
export const parseJson = (text: string): Result<unknown, string> => {
  try {
    return ok(JSON.parse(text));
  } catch (error) {
    return err((error as Error).message);
  }
};
