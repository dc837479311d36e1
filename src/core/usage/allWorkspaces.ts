/** Workspace of records that apply to every workspace; not a valid workspace name. */
export const allWorkspaces = '*';
