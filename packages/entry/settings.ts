import { readFileSync } from "node:fs";
import { z } from "zod";
import { SettingsError } from "./errors.ts";

const endpoint = z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, 'expected "IP:PORT"');
const url = z.string().regex(/^https?:\/\/\d+\.\d+\.\d+\.\d+:\d+$/, 'expected "http://IP:PORT"');

const settingsSchema = z.strictObject({
  /** Id of this host, unique in the system. */
  host: z.string().regex(/^[A-Za-z0-9_.-]+$/),
  dataCentre: z.string().min(1),
  /** Address for callers and operators. */
  callerListen: endpoint,
  /** Address for other hosts. */
  peerListen: endpoint,
  /** Services of the platform. */
  platform: z.strictObject({ tables: url, objects: url, hostList: url, weights: url }),
  /** Keys for connections between hosts, or `"off"`. */
  tls: z.union([
    z.literal("off"),
    z.strictObject({ caFile: z.string(), certFile: z.string(), keyFile: z.string() }),
  ], { error: 'expected "off" or the file names "caFile", "certFile" and "keyFile"' }),
  /** Operators' tokens by owner: SHA-256 in hex and the sections that the owner may change. */
  owners: z.record(
    z.string(),
    z.strictObject({
      tokenHash: z.string().regex(/^[0-9a-f]{64}$/, "expected a SHA-256 in lower-case hex"),
      sections: z.array(
        z.enum(["models", "services", "backendServers", "workspaces", "dataCentres", "timeouts"]),
      ),
    }),
  ),
  log: z.strictObject({ level: z.enum(["debug", "info", "warn", "error"]) }).default({
    level: "info",
  }),
  statsd: z.strictObject({ host: z.string(), port: z.number().int() }).optional(),
  limits: z.strictObject({
    /** Largest request body, in bytes. */
    maxBodyBytes: z.number().int().min(1_024).default(16 * 1024 * 1024),
    /** Bodies being read or held for running requests, in bytes together. */
    maxHeldBytes: z.number().int().min(1_024).default(256 * 1024 * 1024),
    /** Time for a whole body to arrive, in milliseconds. */
    bodyTimeoutMs: z.number().int().min(100).default(10_000),
    /** Time for which a caller may stop reading its stream, in milliseconds. */
    stallTimeoutMs: z.number().int().min(100).default(15_000),
    maxConnections: z.number().int().min(1).default(20_000),
  }).prefault({}),
});

/** Checked settings of an entry host. */
export type Settings = z.infer<typeof settingsSchema>;

/**
 * Reads and checks the settings of an entry host.
 *
 * @param file path of a JSON file
 * @returns the settings with defaults filled in
 * @throws {SettingsError} naming the path of each wrong, unknown or missing value
 *
 * @example
 * const settings = readSettings("/etc/jaypass/settings.json");
 */
export function readSettings(file: string): Settings {
  let input: unknown;
  try {
    input = JSON.parse(readFileSync(file, "utf8"));
  } catch (err) {
    throw new SettingsError(`Settings file "${file}" cannot be read as JSON`, { cause: err });
  }
  return parseSettings(input);
}

/**
 * Checks the settings of an entry host.
 *
 * @param input parsed JSON
 * @returns the settings with defaults filled in
 * @throws {SettingsError} naming the path of each wrong, unknown or missing value
 */
export function parseSettings(input: unknown): Settings {
  const parsed = settingsSchema.safeParse(input);
  if (parsed.success) return parsed.data;
  const issues = parsed.error.issues.map((issue) =>
    `"${issue.path.join(".") || "(top level)"}": ${issue.message}`
  );
  throw new SettingsError(`Settings are not valid: ${issues.join("; ")}`);
}
