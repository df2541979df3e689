import { createHash } from "node:crypto";

/** Configuration of a backend server in a test. */
export interface TestServer {
  id: string;
  kind: "engine" | "service";
  serves: string;
  dataCentre: string;
  url: string;
  warmLimit: number;
  coldLimit: number;
  memoryTokens: number;
}

/** Speed of the test model, which the engine stand-ins use as well. */
export interface TestModelSpeed {
  prefillTokensPerSecond: number;
  msPerOutputToken: number;
}

/** Options of {@linkcode buildDocument}. */
export interface DocumentOptions {
  servers: readonly TestServer[];
  dataCentres: readonly string[];
  workspaces: readonly string[];
  speed: TestModelSpeed;
  /** Timeout for every kind of caller, in milliseconds. */
  timeoutMs: number;
  /** Latency between two data centres in one direction, in milliseconds. */
  oneWayMs: number;
}

/** Model that the tests request. */
export const TEST_MODEL = "lore-1";

/** Plain service that the tests call. */
export const TEST_SERVICE = "booking";

/**
 * Returns the API key of a test workspace.
 *
 * @param workspace id of the workspace
 */
export function getApiKey(workspace: string): string {
  return `key-${workspace}`;
}

/**
 * Builds a configuration document for the given servers.
 *
 * @param options servers, data centres, workspaces, model speed and times
 * @returns a document that `parseDocument` accepts
 */
export function buildDocument(options: DocumentOptions): Record<string, Record<string, unknown>> {
  const { servers, dataCentres, workspaces, speed, timeoutMs, oneWayMs } = options;
  const serverEntry = ({ id: _id, ...server }: TestServer) => ({
    ...server,
    fencing: "checked",
    state: "in",
  });
  const latencies = (own: string) =>
    Object.fromEntries(dataCentres.filter((name) => name !== own).map((name) => [name, oneWayMs]));
  const hours = [{ fromHour: 0, toHour: 24, timeoutMs, firstTokenMs: timeoutMs }];
  return {
    models: {
      [TEST_MODEL]: { contextTokens: 1_048_576, bytesPerToken: 4, ...speed, version: "1" },
    },
    services: {
      [TEST_SERVICE]: {
        operations: { book: { idempotent: false }, lookup: { idempotent: true } },
        resolution: "none",
      },
    },
    backendServers: Object.fromEntries(servers.map((server) => [server.id, serverEntry(server)])),
    workspaces: Object.fromEntries(
      workspaces.map((workspace) => [workspace, {
        keyHash: createHash("sha256").update(getApiKey(workspace)).digest("hex"),
        maxConcurrent: 1_000,
        models: [TEST_MODEL],
        services: [TEST_SERVICE],
      }]),
    ),
    dataCentres: Object.fromEntries(
      dataCentres.map((name) => [name, {
        region: "be-centraal",
        state: "in",
        oneWayMs: latencies(name),
      }]),
    ),
    timeouts: {
      default: { timeZone: "Europe/Brussels", hours },
      parent: { timeZone: "Europe/Brussels", hours },
    },
  };
}
