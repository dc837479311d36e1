const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** Hashes a text to an unsigned 32-bit number (FNV-1a); stable across VMs and versions. */
export const hashText = (text: string): number => {
  let hash = fnvOffset;
  for (let index = 0; index < text.length; index += 1) {
    // eslint-disable-next-line no-bitwise -- FNV-1a is a bitwise hash.
    hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime) >>> 0;
  }
  return hash;
};
