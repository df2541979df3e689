import { createHash } from "node:crypto";

/** A backend server as the tests know it. */
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

/** Speed of the test model, also given to the engine stand-ins. */
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
  /** Timeout of every caller kind, in milliseconds. */
  timeoutMs: number;
  oneWayMs: number;
}

/** The model of the tests. */
export const TEST_MODEL = "lore-1";

/** The plain service of the tests, and its operations. */
export const TEST_SERVICE = "booking";

/**
 * Returns the key of a workspace of the tests.
 *
 * @param workspace id of the workspace
 */
export function getApiKey(workspace: string): string {
  return `key-${workspace}`;
}

/**
 * Builds a configuration document for the given servers.
 *
 * @param options servers, data centres, workspaces and times
 * @returns a document that passes the checks of `parseDocument`
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
