import { z } from 'zod';
import type { ConfigField } from './ConfigField.js';
import { configSchema } from './configSchema.js';

type SchemaNode = z.core.JSONSchema.BaseSchema;

const listFields = (node: SchemaNode, prefix: string): ConfigField[] =>
  Object.entries((node.properties ?? {}) as Record<string, SchemaNode>).flatMap(([name, child]) => {
    const path = `${prefix}${name}`;
    if (child.properties) return listFields(child, `${path}.`);
    const items = child.items as SchemaNode | undefined;
    if (items?.properties) return listFields(items, `${path}[].`);
    const defaultProperty =
      child.default === undefined ? {} : { default: JSON.stringify(child.default) };
    return [
      {
        path,
        description: child.description ?? '',
        required: (node.required ?? []).includes(name),
        ...defaultProperty,
      },
    ];
  });

/** Lists all fields of the configuration file in the order of the schema. */
export const listConfigFields = (): ConfigField[] =>
  listFields(z.toJSONSchema(configSchema, { io: 'input' }), '');
