import type { ConfigDocument } from "../types.ts";

/** Creates the document of revision 0. */
export function createEmptyDocument(): ConfigDocument {
  return {
    models: {},
    services: {},
    backendServers: {},
    workspaces: {},
    dataCentres: {},
    timeouts: {},
  };
}
