import type { Result } from 'neverthrow';
import type { Command } from '../../core/commands/Command.js';
import type { ApiRequest } from './ApiRequest.js';

/** A route of the control API, which turns a request into a command. */
export interface ApiRoute {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  path: string;
  /** Status of a successful response. */
  successStatus: 200 | 202;
  hasBody: boolean;
  /** Builds the command; the error becomes the detail of a `bad-request` refusal. */
  toCommand: (request: ApiRequest) => Result<Command, string>;
  /** Path of the created resource, for the `Location` header. */
  buildLocation?: (command: Command) => string;
}
