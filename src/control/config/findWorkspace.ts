import type { PublishedConfig } from './PublishedConfig.js';
import type { Workspace } from './Workspace.js';

/** Finds the workspace to which an API key belongs. */
export const findWorkspace = (config: PublishedConfig, apiKey: string): Workspace | undefined =>
  config.workspaces.find(({ keys }) => keys.includes(apiKey));
