/**
 * A stream of the store that VMs read. Every VM follows `config` and `journal`, and reads `claims` in
 * an election; a new leader reads `runs` once, and a leader follows `workers`.
 */
export type StreamName = 'config' | 'journal' | 'runs' | 'claims' | 'workers';
