import type { BackendServerConfig, ConfigDocument } from "@jaypass/configuration";

/** Creates the configuration of an engine for the model `small` in `gent`. */
export function testServer(changes: Partial<BackendServerConfig> = {}): BackendServerConfig {
  return {
    url: "http://engine.test",
    kind: "engine",
    serves: "small",
    dataCentre: "gent",
    warmLimit: 16,
    coldLimit: 4,
    memoryTokens: 400_000,
    fencing: "checked",
    state: "in",
    ...changes,
  };
}

/** Creates a configuration document with two data centres and the given servers. */
export function createTestDocument(
  backendServers: Record<string, BackendServerConfig>,
): ConfigDocument {
  return {
    models: {
      small: {
        contextTokens: 1_000_000,
        bytesPerToken: 4,
        prefillTokensPerSecond: 10_000,
        msPerOutputToken: 20,
        version: "1",
      },
    },
    services: {},
    backendServers,
    workspaces: {
      museum: { keyHash: "", maxConcurrent: 100, models: ["small"], services: [] },
    },
    dataCentres: {
      gent: { region: "be-centraal", state: "in", oneWayMs: { brussel: 0.5 } },
      brussel: { region: "be-centraal", state: "in", oneWayMs: { gent: 0.5 } },
    },
    timeouts: {
      guide: {
        timeZone: "Europe/Brussels",
        hours: [{ fromHour: 0, toHour: 24, timeoutMs: 60_000, firstTokenMs: 20_000 }],
      },
    },
  };
}
