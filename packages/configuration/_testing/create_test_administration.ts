import { createHash } from "node:crypto";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { createClock, type Metrics } from "@jaypass/kernel";
import type { ObjectClient, TableClient } from "@jaypass/store_clients";
import { createAdministration } from "../create_administration.ts";
import type { ManagedConfiguration, SectionName } from "../types.ts";
import { silentLog } from "./create_test_hosts.ts";

/** Sections by token owner; the token of each is its name. */
const OWNERS: Record<string, SectionName[]> = {
  operations: ["dataCentres", "backendServers"],
  tenants: ["workspaces"],
  all: ["models", "services", "backendServers", "workspaces", "dataCentres", "timeouts"],
};

/** A response, whose body is untyped for use in assertions. */
export interface TestAnswer {
  status: number;
  // deno-lint-ignore no-explicit-any
  body: any;
}

/** The parts of a host that its administration uses. */
export interface AdministeredHost {
  configuration: ManagedConfiguration;
  table: TableClient;
  objects: ObjectClient;
  metrics: Metrics;
}

/** The administration of one host, served on a loopback port. */
export interface TestAdministration {
  url: string;
  get(path: string, token?: string): Promise<TestAnswer>;
  post(path: string, body: unknown, token?: string): Promise<TestAnswer>;
  close(): Promise<void>;
}

/** Serves the administration of a host on a loopback port. */
export async function createTestAdministration(
  host: AdministeredHost,
): Promise<TestAdministration> {
  const administer = createAdministration({
    ...host,
    clock: createClock(),
    random: Math.random,
    log: silentLog,
    tokens: Object.entries(OWNERS).map(([owner, sections]) => ({
      owner,
      sections,
      hash: createHash("sha256").update(owner).digest("hex"),
    })),
  });
  const server = createServer(async (req, res) => {
    if (!await administer(req, res)) res.writeHead(418).end("{}");
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const call = async (path: string, token: string, init: RequestInit): Promise<TestAnswer> => {
    const headers = { authorization: `Bearer ${token}` };
    const res = await fetch(`${url}${path}`, { ...init, headers });
    return { status: res.status, body: await res.json() };
  };
  return {
    url,
    get: (path, token = "all") => call(path, token, {}),
    post: (path, body, token = "all") =>
      call(path, token, {
        method: "POST",
        body: typeof body === "string" ? body : JSON.stringify(body),
      }),
    close: () =>
      new Promise((resolve) => {
        server.closeAllConnections();
        server.close(() => resolve());
      }),
  };
}
