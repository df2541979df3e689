/**
 * Interfaces of the command line's input and output, client and commands.
 *
 * @module
 */

/** Environment, input and output of the program; tests pass their own. */
export interface CliIo {
  env: Record<string, string | undefined>;
  /** Writes a result to standard output. */
  write(text: string): void;
  /** Writes progress or an error to standard error. */
  writeError(text: string): void;
  /** Reads a file, or standard input for `-`. */
  readFile(path: string): Promise<string>;
}

/** Sends requests to the first entry host that answers. */
export interface OperatorClient {
  /** @throws {CliError} with the exit code of the refusal */
  get<T>(path: string): Promise<T>;
  /** @throws {CliError} with the exit code of the refusal */
  post<T>(path: string, body: unknown): Promise<T>;
  /** @throws {CliError} with the exit code of the refusal */
  delete(path: string): Promise<void>;
  close(): Promise<void>;
}

/** Client and output of a running command. */
export interface CommandContext {
  client: OperatorClient;
  io: CliIo;
  /** Prints a value as JSON with `--json`, otherwise as the given text. */
  print(value: unknown, toText: () => string): void;
}
