import { createHash } from "node:crypto";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { EnginesResponse, HostsResponse, StatusResponse } from "@jaypass/configuration";
import { sleep } from "@jaypass/kernel";
import { request } from "undici";
import { buildDocument, TEST_MODEL, TEST_SERVICE } from "./build_document.ts";
import type { TestModelSpeed, TestServer } from "./build_document.ts";
import { findFreePorts } from "./_lib/find_free_ports.ts";
import { spawnProgram } from "./_lib/spawn_program.ts";
import type { Program } from "./_lib/spawn_program.ts";

/** Operator token of the tests, which may change every section of the configuration. */
export const OPERATOR_TOKEN = "operator-token";

/** Options of {@linkcode startSystem}. By default the system is small. */
export interface SystemOptions {
  hosts?: number;
  engines?: number;
  services?: number;
  dataCentres?: string[];
  workspaces?: string[];
  speed?: TestModelSpeed;
  timeoutMs?: number;
  oneWayMs?: number;
  /** Limits and memory of every engine. */
  engine?: { memoryTokens?: number; coldLimit?: number; warmLimit?: number; coldMs?: number };
  /** Options passed to the engine stand-ins. */
  engineOptions?: Record<string, unknown>;
  serviceOptions?: Record<string, unknown>;
  platformOptions?: Record<string, unknown>;
  /** Settings of every host besides those of the system itself. */
  hostSettings?: Record<string, unknown>;
  /** Options of Node.js for every host; source maps by default. */
  hostNodeArguments?: readonly string[];
  /** Changes the configuration document before it is applied. */
  editDocument?: (document: Record<string, Record<string, unknown>>) => void;
}

/** A host process of the system. */
export interface SystemHost {
  id: string;
  dataCentre: string;
  url: string;
  settingsFile: string;
  program: Program;
}

/** A backend server of the system, which a stand-in process simulates. */
export interface SystemStandIn extends TestServer {
  program: Program;
}

/** A running system of separate processes. */
export interface System {
  hosts: SystemHost[];
  engines: SystemStandIn[];
  services: SystemStandIn[];
  platform: { url: string; program: Program };
  document: Record<string, Record<string, unknown>>;
  /** Starts a host again after it has ended, with the same settings. */
  restartHost(host: SystemHost): Promise<void>;
  /** Injects faults into the stand-in at a URL. */
  setFaults(url: string, faults: unknown): Promise<void>;
  /** Sends an operator request to a host and returns the response. */
  postAdmin(url: string, path: string, body: unknown): Promise<unknown>;
  /** Reads the test log of the stand-in at a URL. */
  readLog<T>(url: string): Promise<T>;
  /** Reads the status of a host. */
  fetchStatus(host: SystemHost): Promise<StatusResponse>;
  /** Waits until every running host can serve requests. */
  waitUntilReady(): Promise<void>;
  stop(): Promise<void>;
}

const DEFAULT_SPEED: TestModelSpeed = { prefillTokensPerSecond: 400_000, msPerOutputToken: 2 };

/** Time within which every host must know all backend servers and all other hosts. */
const READY_TIMEOUT_MS = 60_000;

/** Time within which a stand-in must accept connections again after a crash. */
const STAND_IN_TIMEOUT_MS = 10_000;

/** Pause between checks of the readiness of a host, and between attempts to reach a stand-in. */
const READY_POLL_MS = 100;

/**
 * Starts a platform stand-in, engines, plain services and entry hosts, each in its own process.
 *
 * @param options number of processes of each kind, and their options
 * @returns the system, ready to serve requests
 * @throws when a process does not start or a host does not become ready in time
 *
 * @example
 * const system = await startSystem({ hosts: 3, engines: 2, services: 1 });
 * t.teardown(() => system.stop());
 */
export async function startSystem(options: SystemOptions = {}): Promise<System> {
  const dataCentres = options.dataCentres ?? ["gent"];
  const folder = mkdtempSync(join(tmpdir(), "jaypass-"));
  const programs: Program[] = [];
  const start = async (name: string, args: string[]) => {
    const nodeArguments = name === "jaypassd" ? options.hostNodeArguments : undefined;
    const started = await spawnProgram(name, args, nodeArguments);
    programs.push(started.program);
    return started;
  };
  const stop = async () => {
    for (const program of programs) program.signal("SIGKILL");
    await Promise.all(programs.map((program) => program.exited));
    rmSync(folder, { recursive: true, force: true });
  };

  try {
    const platform = await start("platform_stand_in", [
      JSON.stringify({ port: 0, ...options.platformOptions }),
    ]);
    const platformUrl = `http://127.0.0.1:${platform.port}`;
    const [engines, services] = await Promise.all([
      startServers("engine", options, dataCentres, start),
      startServers("service", options, dataCentres, start),
    ]);
    const document = buildDocument({
      servers: [...engines, ...services].map(({ program: _program, ...server }) => server),
      dataCentres,
      workspaces: options.workspaces ?? ["school", "scouts"],
      speed: options.speed ?? DEFAULT_SPEED,
      timeoutMs: options.timeoutMs ?? 30_000,
      oneWayMs: options.oneWayMs ?? 0.5,
    });
    options.editDocument?.(document);
    const { hostSettings = {} } = options;
    const hosts = await startHosts(options.hosts ?? 3, {
      dataCentres,
      folder,
      platformUrl,
      hostSettings,
      start,
    });
    await applyDocument(hosts[0]!.url, document);

    const system: System = {
      hosts,
      engines,
      services,
      platform: { url: platformUrl, program: platform.program },
      document,
      restartHost: async (host) => {
        host.program = (await start("jaypassd", ["--settings", host.settingsFile])).program;
      },
      setFaults: async (url, faults) =>
        void await retryWhileDown(() => postJson(`${url}/test/faults`, faults)),
      postAdmin: (url, path, body) => postJson(`${url}/admin/v1/${path}`, body),
      readLog: (url) => retryWhileDown(() => getJson(`${url}/test/log`)),
      fetchStatus: (host) => getJson(`${host.url}/admin/v1/status`),
      waitUntilReady: () => waitUntilReady(hosts, document),
      stop,
    };
    await system.waitUntilReady();
    return system;
  } catch (err) {
    await stop();
    throw err;
  }
}

type Start = (name: string, args: string[]) => Promise<{ program: Program; port: number }>;

function startServers(
  kind: "engine" | "service",
  options: SystemOptions,
  dataCentres: readonly string[],
  start: Start,
): Promise<SystemStandIn[]> {
  const isEngine = kind === "engine";
  const count = isEngine ? options.engines ?? 2 : options.services ?? 1;
  const { memoryTokens = 600_000, coldLimit = 4, warmLimit = 16, coldMs = 2_000 } =
    options.engine ?? {};
  const startOne = async (_: unknown, i: number): Promise<SystemStandIn> => {
    const id = `${kind}-${i}`;
    const common = { port: 0, id, coldLimit, coldMs };
    const args = isEngine
      ? {
        ...common,
        models: { [TEST_MODEL]: "1" },
        memoryTokens,
        warmLimit,
        ...(options.speed ?? DEFAULT_SPEED),
        ...options.engineOptions,
      }
      : { ...common, ...options.serviceOptions };
    const { program, port } = await start(`${kind}_stand_in`, [JSON.stringify(args)]);
    return {
      id,
      kind,
      serves: isEngine ? TEST_MODEL : TEST_SERVICE,
      dataCentre: dataCentres[i % dataCentres.length]!,
      url: `http://127.0.0.1:${port}`,
      warmLimit,
      coldLimit,
      memoryTokens: isEngine ? memoryTokens : 0,
      program,
    };
  };
  return Promise.all(Array.from({ length: count }, startOne));
}

interface HostsContext {
  dataCentres: readonly string[];
  folder: string;
  platformUrl: string;
  hostSettings: Record<string, unknown>;
  start: Start;
}

async function startHosts(count: number, context: HostsContext): Promise<SystemHost[]> {
  const { dataCentres, folder, platformUrl, hostSettings, start } = context;
  const ports = await findFreePorts(count * 2);
  const startOne = async (_: unknown, i: number): Promise<SystemHost> => {
    const id = `host-${i}`;
    const dataCentre = dataCentres[i % dataCentres.length]!;
    const settings = {
      host: id,
      dataCentre,
      callerListen: `127.0.0.1:${ports[2 * i]}`,
      peerListen: `127.0.0.1:${ports[2 * i + 1]}`,
      platform: {
        tables: platformUrl,
        objects: platformUrl,
        hostList: platformUrl,
        weights: platformUrl,
      },
      tls: "off",
      owners: {
        operators: {
          tokenHash: createHash("sha256").update(OPERATOR_TOKEN).digest("hex"),
          sections: [
            "models",
            "services",
            "backendServers",
            "workspaces",
            "dataCentres",
            "timeouts",
          ],
        },
      },
      log: { level: "warn" },
      ...hostSettings,
    };
    const settingsFile = join(folder, `${id}.json`);
    writeFileSync(settingsFile, JSON.stringify(settings));
    const { program } = await start("jaypassd", ["--settings", settingsFile]);
    return {
      id,
      dataCentre,
      url: `http://${settings.callerListen}`,
      settingsFile,
      program,
    };
  };
  return await Promise.all(Array.from({ length: count }, startOne));
}

async function applyDocument(url: string, document: Record<string, Record<string, unknown>>) {
  const changes = Object.entries(document).map(([section, entries]) => ({ section, entries }));
  await postJson(`${url}/admin/v1/config/apply`, {
    baseRevision: 0,
    changes,
    why: "First document of a test",
  });
}

async function waitUntilReady(
  hosts: readonly SystemHost[],
  document: Record<string, Record<string, unknown>>,
) {
  const endMs = performance.now() + READY_TIMEOUT_MS;
  const running = hosts.filter((candidate) => candidate.program.isRunning());
  const servers = Object.keys(document.backendServers!).length;
  for (const host of running) {
    let missing = "no answer";
    while (missing !== "") {
      if (performance.now() > endMs) {
        throw new Error(
          `Host "${host.id}" is not ready: found "${missing}": ${host.program.stderrTail()}`,
        );
      }
      await sleep(READY_POLL_MS);
      missing = await findMissing(host, { servers, hosts: running.length })
        .catch((err: Error) => err.message);
    }
  }
}

/** Describes what a host is still missing before it can serve requests; empty when it is ready. */
async function findMissing(
  host: SystemHost,
  wanted: { servers: number; hosts: number },
): Promise<string> {
  const { engines } = await getJson<EnginesResponse>(`${host.url}/admin/v1/engines`);
  const usable = engines.filter(({ state }) => state !== "unknown" && state !== "down").length;
  if (usable < wanted.servers) return `${usable} of ${wanted.servers} servers`;
  const { hosts } = await getJson<HostsResponse>(`${host.url}/admin/v1/hosts`);
  const alive = hosts.filter(({ state }) => state === "alive").length;
  return alive < wanted.hosts ? `${alive} of ${wanted.hosts} hosts` : "";
}

/** Retries a call to a stand-in, which refuses connections for a second after a crash. */
async function retryWhileDown<T>(call: () => Promise<T>): Promise<T> {
  const endMs = performance.now() + STAND_IN_TIMEOUT_MS;
  while (true) {
    try {
      return await call();
    } catch (err) {
      const { code } = err as NodeJS.ErrnoException;
      const isDown = code === "ECONNREFUSED" || code === "ECONNRESET" || code === "UND_ERR_SOCKET";
      if (!isDown || performance.now() > endMs) throw err;
      await sleep(READY_POLL_MS);
    }
  }
}

async function postJson(url: string, body: unknown): Promise<unknown> {
  const res = await request(url, {
    method: "POST",
    headers: { "content-type": "application/json", authorization: `Bearer ${OPERATOR_TOKEN}` },
    body: JSON.stringify(body),
  });
  const text = await res.body.text();
  if (res.statusCode >= 300) throw new Error(`POST ${url} returned ${res.statusCode}: ${text}`);
  return text === "" ? undefined : JSON.parse(text);
}

async function getJson<T>(url: string): Promise<T> {
  const res = await request(url, { headers: { authorization: `Bearer ${OPERATOR_TOKEN}` } });
  const body = await res.body.json();
  if (res.statusCode >= 300) throw new Error(`GET ${url} returned ${res.statusCode}`);
  return body as T;
}
