import type { Result } from 'neverthrow';
import type { Command } from '../../core/commands/Command.js';
import type { ApiRequest } from './ApiRequest.js';

/** One route: how its requests become commands; an error is the detail of a bad request. */
export interface ApiRoute {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  path: string;
  /** Status of a successful answer. */
  successStatus: 200 | 202;
  hasBody: boolean;
  toCommand: (request: ApiRequest) => Result<Command, string>;
  /** Path of the created resource, for the `Location` header. */
  buildLocation?: (command: Command) => string;
}
