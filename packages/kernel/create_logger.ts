import bunyan from "bunyan";
import type { Logger } from "./types.ts";

/** Options of {@linkcode createLogger}. */
export interface LoggerOptions {
  /** Lowest level that is written. */
  level: "debug" | "info" | "warn" | "error" | "fatal";
  /** Fields added to every line, for example the host id. */
  fields?: Record<string, string>;
  /** Receives the lines; standard error by default. */
  output?: { write(line: string): void };
}

/**
 * Creates the structured logger of a process, which writes JSON lines.
 *
 * @param name program name
 * @param options level and common fields
 * @returns a bunyan logger
 *
 * @example
 * const log = createLogger("jaypassd", { level: "info" });
 * log.info({ requestId }, "Request admitted");
 */
export function createLogger(name: string, options: LoggerOptions): Logger {
  return bunyan.createLogger({
    name,
    streams: [{
      stream: (options.output ?? process.stderr) as NodeJS.WritableStream,
      level: options.level,
    }],
    serializers: { err: bunyan.stdSerializers.err },
    ...options.fields,
  }) as unknown as Logger;
}
