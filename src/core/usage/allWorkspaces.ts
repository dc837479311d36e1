/** Stands for every workspace in a record; no workspace can have this name. */
export const allWorkspaces = '*';
