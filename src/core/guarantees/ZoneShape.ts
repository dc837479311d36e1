import type { GuaranteeShape } from '../settings/GuaranteeShape.js';
import type { ShapeId } from './ShapeId.js';

/** A guaranteed shape of one zone, with its id. */
export interface ZoneShape extends ShapeId {
  spec: GuaranteeShape;
}
