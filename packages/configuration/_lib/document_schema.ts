import { IANAZone } from "luxon";
import { z } from "zod";
import type { SectionName } from "../types.ts";

/** Names become parts of pool names, table keys and URLs, so `@`, `#` and `/` are refused. */
const name = z.string().regex(
  /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/,
  "Name must have 1 to 64 letters, digits, dots, hyphens or underscores and start with a letter or digit",
).refine((value) => !(value in Object.prototype), "Name is reserved");

const DAY_MS = 86_400_000;
const count = z.int().min(1).max(1_000_000);
const tokens = z.int().min(0).max(1_000_000_000);
// A value below 100 ms is a number of seconds in the wrong unit.
const timeoutMs = z.number()
  .min(100, "Must be at least 100; the unit is milliseconds")
  .max(DAY_MS, "Must be at most 86400000; the unit is milliseconds");

const model = z.strictObject({
  contextTokens: tokens.min(1),
  bytesPerToken: z.number().min(0.5).max(64),
  prefillTokensPerSecond: z.number().positive(),
  msPerOutputToken: z.number().positive().max(60_000),
  version: z.string().min(1).max(128),
});

const service = z.strictObject({
  operations: z.record(name, z.strictObject({ idempotent: z.boolean() })),
  resolution: z.enum(["none", "lookup", "fence"]),
});

const backendServer = z.strictObject({
  url: z.url({ protocol: /^https?$/, error: "Must be an http or https URL" }),
  kind: z.enum(["engine", "service"]),
  serves: name,
  dataCentre: name,
  warmLimit: count,
  coldLimit: count,
  memoryTokens: tokens,
  fencing: z.enum(["checked", "ignored"]),
  state: z.enum(["in", "leaving"]),
  partition: z.int().min(0).max(9_999).optional(),
});

const workspace = z.strictObject({
  keyHash: z.string().regex(/^[0-9a-f]{64}$/, "Must be a SHA-256 in 64 lower-case hex digits"),
  maxConcurrent: count,
  models: z.array(name),
  services: z.array(name),
});

const dataCentre = z.strictObject({
  region: name,
  state: z.enum(["in", "out"]),
  oneWayMs: z.record(
    name,
    z.number().min(0).max(1_000, "Must be at most 1000; the unit is milliseconds"),
  ),
});

const timeout = z.strictObject({
  timeZone: z.string().refine((zone) => IANAZone.isValidZone(zone), "Unknown time zone"),
  hours: z.array(z.strictObject({
    fromHour: z.int().min(0).max(23),
    toHour: z.int().min(1).max(24),
    timeoutMs,
    firstTokenMs: timeoutMs,
  })).min(1),
});

/** Schema of one entry, by section. */
export const entrySchemas = {
  models: model,
  services: service,
  backendServers: backendServer,
  workspaces: workspace,
  dataCentres: dataCentre,
  timeouts: timeout,
} as const satisfies Record<SectionName, z.ZodType>;

/** Schema of an entry name. */
export const entryNameSchema = name;

/** Names of all sections. */
export const sectionNames = Object.keys(entrySchemas) as SectionName[];

/** Schema of the whole document, without the checks across sections. */
export const documentSchema = z.strictObject({
  models: z.record(name, model),
  services: z.record(name, service),
  backendServers: z.record(name, backendServer),
  workspaces: z.record(name, workspace),
  dataCentres: z.record(name, dataCentre),
  timeouts: z.record(name, timeout),
});
