import type { ConfigDocument } from "@jaypass/configuration";
import type { ActiveRequest } from "@jaypass/engines";
import type { Clock, Logger } from "@jaypass/kernel";
import { createClock, createMetrics } from "@jaypass/kernel";
import type { HostView, Membership } from "@jaypass/membership";
import type { PeerContext, PeerMethod, PeerPool, PeerServer } from "@jaypass/peers";
import { createAdmission } from "../create_admission.ts";
import type { AdmissionService } from "../create_admission.ts";
import type { ServerProbe } from "../_lib/poll_server.ts";
import { createTestLeases } from "./create_test_leases.ts";
import { createTestTable } from "./create_test_table.ts";
import type { TestTable } from "./create_test_table.ts";
import type { TestLeases } from "./create_test_leases.ts";

type AnyHandler = (req: unknown, context: PeerContext) => Promise<unknown>;

/** State of a simulated engine, which runs nothing itself. */
export interface TestEngine {
  active: Map<string, ActiveRequest>;
  restartCount: number;
  isWarm: boolean;
  isDown: boolean;
  cancelled: string[];
}

/** Hosts in one process with an in-memory network, shared leases and simulated engines. */
export interface TestSystem {
  hosts: AdmissionService[];
  views: HostView[];
  engines: Map<string, TestEngine>;
  leases: TestLeases;
  counters: ReturnType<typeof createMetrics>;
  /** Ids of hosts without network. */
  cut: Set<string>;
  table: TestTable;
  applyDocument(document: ConfigDocument): void;
  stop(): Promise<void>;
}

/** A logger that writes nothing. */
export const SILENT_LOG: Logger = {
  debug: () => {},
  info: () => {},
  warn: () => {},
  error: () => {},
  child: () => SILENT_LOG,
};

/** Options of {@linkcode createTestSystem}. */
export interface TestSystemOptions {
  hostCount: number;
  document: ConfigDocument;
  clock?: Clock;
  rebuildMs?: number;
  /** Whether engines are warm at the start. */
  isWarm?: boolean;
  /** Awaited before the answer to a call reaches its host; may delay or lose it. */
  beforeAnswer?: (path: string) => Promise<void>;
}

/** Creates and starts the hosts. */
export function createTestSystem(options: TestSystemOptions): TestSystem {
  const clock = options.clock ?? createClock();
  const handlers = new Map<string, Map<string, AnyHandler>>();
  const broadcasts = new Map<string, Map<string, ((payload: unknown) => void)[]>>();
  const listeners: ((document: ConfigDocument, revision: number) => void)[] = [];
  const engines = new Map<string, TestEngine>();
  const leases = createTestLeases();
  const counters = createMetrics({ tags: {} });
  const cut = new Set<string>();
  const table = createTestTable();
  let document = options.document;
  const views = Array.from({ length: options.hostCount }, (_, n): HostView => ({
    id: `h${n}`,
    incarnation: "1",
    dataCentre: n % 2 === 0 ? "gent" : "brussel",
    peerAddress: `h${n}`,
    callerUrl: `http://h${n}`,
    state: "alive",
  }));
  const engineOf = (id: string) => {
    const engine: TestEngine = engines.get(id) ??
      {
        active: new Map(),
        restartCount: 1,
        isWarm: options.isWarm ?? true,
        isDown: false,
        cancelled: [],
      };
    engines.set(id, engine);
    return engine;
  };
  const createProbe = ({ id, memoryTokens }: { id: string; memoryTokens: number }): ServerProbe => {
    const engine = engineOf(id);
    const check = () => {
      if (engine.isDown) {
        throw Object.assign(new Error("Connection refused"), { code: "ECONNREFUSED" });
      }
    };
    return {
      load: async () => {
        await Promise.resolve();
        check();
        return {
          restartCount: engine.restartCount,
          warm: engine.isWarm,
          running: engine.active.size,
          usedTokens: 0,
          memoryTokens,
          ageMs: 0,
          models: {},
          role: "",
        };
      },
      active: async () => {
        await Promise.resolve();
        check();
        return [...engine.active.values()];
      },
      cancel: async (requestId) => {
        await Promise.resolve();
        check();
        engine.cancelled.push(requestId);
        engine.active.delete(requestId);
      },
      close: () => Promise.resolve(),
    };
  };
  const hosts = views.map((view) => {
    const own = new Map<string, AnyHandler>();
    handlers.set(view.peerAddress, own);
    const topics = new Map<string, ((payload: unknown) => void)[]>();
    broadcasts.set(view.id, topics);
    const server: PeerServer = {
      handle: (method, handler) => void own.set(method.path, handler as AnyHandler),
      handleStream: () => {},
      listen: () => Promise.resolve(view.peerAddress),
      traffic: () => ({}),
      stop: () => Promise.resolve(),
    };
    const call = async <Req, Res>(
      address: string,
      method: PeerMethod<Req, Res>,
      req: Req,
      limits: { timeoutMs: number; signal?: AbortSignal },
    ): Promise<Res> => {
      const handler = handlers.get(address)?.get(method.path);
      if (handler === undefined || cut.has(address) || cut.has(view.id)) {
        throw new Error(`No connection to "${address}"`);
      }
      const signals = [AbortSignal.timeout(limits.timeoutMs)];
      if (limits.signal) signals.push(limits.signal);
      const signal = AbortSignal.any(signals);
      const context = { signal, remainingMs: limits.timeoutMs };
      const answer = await handler(method.req.parse(structuredClone(req)), context);
      await options.beforeAnswer?.(method.path);
      if (cut.has(address) || cut.has(view.id)) throw new Error("Connection lost");
      signal.throwIfAborted();
      return method.res.parse(structuredClone(answer));
    };
    const peers: PeerPool = {
      call,
      // deno-lint-ignore require-yield
      stream: async function* () {
        await Promise.resolve();
        throw new Error("Streams are not supported by the test system");
      },
      traffic: () => ({}),
      close: () => Promise.resolve(),
    };
    const membership: Membership = {
      self: () => view,
      hosts: () => views,
      find: (id) => views.find((host) => host.id === id),
      leave: () => {},
      addDigest: () => {},
      push: () => {},
      broadcast(topic, payload) {
        for (const [host, others] of broadcasts) {
          if (cut.has(host) || cut.has(view.id)) continue;
          for (const handler of others.get(topic) ?? []) handler(payload);
        }
      },
      onBroadcast(topic, handler) {
        topics.set(topic, [...topics.get(topic) ?? [], handler]);
      },
      askIncarnation(address) {
        const found = views.find(({ peerAddress }) => peerAddress === address);
        if (found === undefined || cut.has(address)) return Promise.resolve(undefined);
        return Promise.resolve({ host: found.id, incarnation: found.incarnation });
      },
    };
    const holder = { host: view.id, incarnation: view.incarnation, address: view.peerAddress };
    return createAdmission({
      clock,
      random: Math.random,
      log: SILENT_LOG,
      metrics: counters,
      configuration: {
        revision: () => 1,
        document: () => document,
        onChange: (listener) => void listeners.push(listener),
        ready: () => Promise.resolve(),
      },
      membership,
      peers,
      server,
      createLease: (name) => leases.create(name, holder),
      createProbe,
      table,
      rebuildMs: options.rebuildMs ?? 50,
    });
  });
  return {
    hosts,
    views,
    engines,
    leases,
    counters,
    cut,
    table,
    applyDocument(next) {
      document = next;
      for (const listener of listeners) listener(next, 2);
    },
    async stop() {
      await Promise.all(hosts.map((host) => host.stop()));
      await counters.close();
    },
  };
}

/** Creates a request for a grant of the model `small`. */
export function testRequest(requestId: string, changes: object = {}) {
  return {
    requestId,
    serves: "small",
    workspace: "museum",
    fingerprint: requestId,
    promptTokens: 500,
    maxTokens: 100,
    prefixBlocks: [],
    remainingMs: 60_000,
    firstTokenRemainingMs: 20_000,
    exclude: [],
    ...changes,
  };
}
