/** Joins workspace and idempotency key; a key of one workspace says nothing about another's. */
export const buildKeyId = (workspace: string, key: string): string => `${workspace}\n${key}`;
