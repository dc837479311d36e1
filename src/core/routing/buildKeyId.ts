/** Builds the id of an idempotency key; keys of different workspaces are independent. */
export const buildKeyId = (workspace: string, key: string): string => `${workspace}\n${key}`;
