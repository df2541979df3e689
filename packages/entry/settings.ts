import { readFileSync } from "node:fs";
import { z } from "zod";
import { MIN_STOP_GRACE_MS } from "./constants.ts";
import { SettingsError } from "./errors.ts";

const endpoint = z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, 'expected "IP:PORT"');
const url = z.string().regex(/^https?:\/\/\d+\.\d+\.\d+\.\d+:\d+$/, 'expected "http://IP:PORT"');

const settingsSchema = z.strictObject({
  /** Id of this host, unique among all hosts. */
  host: z.string().regex(/^[A-Za-z0-9_.-]+$/),
  dataCentre: z.string().min(1),
  /** Listen address for callers and operators. */
  callerListen: endpoint,
  /** Listen address for other hosts. */
  peerListen: endpoint,
  /** Base URLs of the platform services. */
  platform: z.strictObject({ tables: url, objects: url, hostList: url, weights: url }),
  /** PEM files for mutual TLS between hosts, or `"off"`. */
  tls: z.union([
    z.literal("off"),
    z.strictObject({ caFile: z.string(), certFile: z.string(), keyFile: z.string() }),
  ], { error: 'expected "off" or the file names "caFile", "certFile" and "keyFile"' }),
  /** Operator tokens by owner, as SHA-256 hashes, and the sections that each owner may change. */
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
  /** Time between SIGTERM and the forced end of the process, in milliseconds. */
  stopGraceMs: z.number().int().min(MIN_STOP_GRACE_MS).default(120_000),
  limits: z.strictObject({
    /** Maximum size of a request body, in bytes. */
    maxBodyBytes: z.number().int().min(1_024).default(16 * 1024 * 1024),
    /** Maximum total size of the bodies that are being read or processed, in bytes. */
    maxHeldBytes: z.number().int().min(1_024).default(256 * 1024 * 1024),
    /** Timeout for reading a complete body, in milliseconds. */
    bodyTimeoutMs: z.number().int().min(100).default(10_000),
    /** Time without reading after which the caller of a stream is disconnected, in milliseconds. */
    stallTimeoutMs: z.number().int().min(100).default(15_000),
    maxConnections: z.number().int().min(1).default(20_000),
  }).prefault({}),
});

/** Validated settings of an entry host. */
export type Settings = z.infer<typeof settingsSchema>;

/**
 * Reads and validates the settings of an entry host.
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
 * Validates the settings of an entry host.
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
