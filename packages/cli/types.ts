/**
 * Contracts inside the command line.
 *
 * @module
 */

/** Surroundings of the program, replaced in tests. */
export interface CliIo {
  env: Record<string, string | undefined>;
  /** Writes a result. */
  write(text: string): void;
  /** Writes progress and errors. */
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

/** What a command works with. */
export interface CommandContext {
  client: OperatorClient;
  io: CliIo;
  /** Prints a value as JSON with `--json`, otherwise as the given text. */
  print(value: unknown, toText: () => string): void;
}
