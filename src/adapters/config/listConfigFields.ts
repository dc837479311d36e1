import { z } from 'zod';
import type { ConfigField } from './ConfigField.js';
import { configSchema } from './configSchema.js';

type Node = z.core.JSONSchema.BaseSchema;

const listFields = (node: Node, prefix: string): ConfigField[] =>
  Object.entries((node.properties ?? {}) as Record<string, Node>).flatMap(([name, child]) => {
    const path = `${prefix}${name}`;
    if (child.properties) return listFields(child, `${path}.`);
    const items = child.items as Node | undefined;
    if (items?.properties) return listFields(items, `${path}[].`);
    const fallback = child.default === undefined ? {} : { default: JSON.stringify(child.default) };
    return [
      {
        path,
        description: child.description ?? '',
        required: (node.required ?? []).includes(name),
        ...fallback,
      },
    ];
  });

/** Lists all fields of the configuration file in the order of the schema. */
export const listConfigFields = (): ConfigField[] =>
  listFields(z.toJSONSchema(configSchema, { io: 'input' }), '');
