import { createHash } from "node:crypto";
import type { BackendServerConfig, ConfigDocument, WorkspaceConfig } from "../types.ts";

/** Creates an engine that serves the model `gids`; `n` makes its URL unique. */
export function exampleEngine(n: number, dataCentre = "gent"): BackendServerConfig {
  return {
    url: `http://127.0.0.1:${20_000 + n}`,
    kind: "engine",
    serves: "gids",
    dataCentre,
    warmLimit: 16,
    coldLimit: 2,
    memoryTokens: 400_000,
    fencing: "checked",
    state: "in",
  };
}

/** Creates a workspace for tests. */
export function exampleWorkspace(name: string): WorkspaceConfig {
  return {
    keyHash: createHash("sha256").update(name).digest("hex"),
    maxConcurrent: 20,
    models: ["gids"],
    services: ["booking"],
  };
}

/** Creates a small valid document with a number of workspaces for tests. */
export function exampleDocument(workspaces = 2): ConfigDocument {
  const names = Array.from({ length: workspaces }, (_, n) => `museum-${n}`);
  return {
    models: {
      gids: {
        contextTokens: 1_000_000,
        bytesPerToken: 4,
        prefillTokensPerSecond: 20_000,
        msPerOutputToken: 20,
        version: "1",
      },
    },
    services: { booking: { operations: { book: { idempotent: false } }, resolution: "fence" } },
    backendServers: {
      "gent-1": exampleEngine(1),
      "brussel-1": exampleEngine(2, "brussel"),
      "desk-1": {
        ...exampleEngine(3),
        kind: "service",
        serves: "booking",
        memoryTokens: 0,
      },
    },
    workspaces: Object.fromEntries(names.map((name) => [name, exampleWorkspace(name)])),
    dataCentres: {
      gent: { region: "be-centraal", state: "in", oneWayMs: { brussel: 0.5 } },
      brussel: { region: "be-centraal", state: "in", oneWayMs: { gent: 0.5 } },
    },
    timeouts: {
      parent: {
        timeZone: "Europe/Brussels",
        hours: [
          { fromHour: 7, toHour: 22, timeoutMs: 30_000, firstTokenMs: 2_000 },
          { fromHour: 22, toHour: 7, timeoutMs: 60_000, firstTokenMs: 5_000 },
        ],
      },
      pump: {
        timeZone: "America/Toronto",
        hours: [
          { fromHour: 0, toHour: 3, timeoutMs: 1_000, firstTokenMs: 500 },
          { fromHour: 3, toHour: 24, timeoutMs: 2_000, firstTokenMs: 500 },
        ],
      },
    },
  };
}
