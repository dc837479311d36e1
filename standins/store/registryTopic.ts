/** Topic of the registry entries of workers. */
export const registryTopic = 'keyed.servers';
