import { setMaxListeners } from "node:events";
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { createClock, sleep } from "@jaypass/kernel";
import { createFaultInjector } from "./_lib/create_fault_injector.ts";
import { createHostListState } from "./_lib/create_host_list_state.ts";
import { readBody } from "./_lib/read_body.ts";
import { createRequestCounts } from "./_lib/create_request_counts.ts";
import { createTableState } from "./_lib/create_table_state.ts";
import type { StoredTransaction } from "./_lib/create_table_state.ts";
import { createTokenBucket } from "./_lib/create_token_bucket.ts";
import type {
  FaultChange,
  PlatformCounts,
  PlatformFaults,
  PlatformStandInOptions,
} from "./platform_types.ts";

/** A running stand-in of the platform. */
export interface PlatformStandIn {
  /** Base URL of all services. */
  url: string;
  port: number;
  /** Sets the faults of some clients, or of every client without faults of its own. */
  setFaults(faults: PlatformFaults, options?: Omit<FaultChange, "faults">): void;
  /** Requests since the start or the last reset. */
  counts(): PlatformCounts;
  resetCounts(): void;
  stop(): Promise<void>;
}

const DEFAULT_READS_PER_SECOND = 2_000;
const DEFAULT_WRITES_PER_SECOND = 500;
const DEFAULT_WEIGHT_BYTES_PER_SECOND = 1e9;
const DEFAULT_WEIGHT_BYTES = 10e9;

/** What a route answers; an absent `status` stands for 200. */
interface Answer {
  status?: number;
  json?: unknown;
  bytes?: Uint8Array;
}

/**
 * Starts a stand-in of the platform: table service, object store, host list and weight store.
 *
 * @param options port, budgets, lags and sizes
 * @returns the running stand-in
 *
 * @example
 * const platform = await createPlatformStandIn({ writesPerSecond: 300 });
 * platform.setFaults({ outage: "silent" }, { clients: ["h1"] });
 * await platform.stop();
 */
export async function createPlatformStandIn(
  options: PlatformStandInOptions = {},
): Promise<PlatformStandIn> {
  const clock = createClock();
  const faultSwitch = createFaultInjector(options.random ?? Math.random);
  const tables = createTableState(clock);
  const objects = new Map<string, Uint8Array>();
  const hosts = createHostListState(clock, options.hostListLagMs ?? 0);
  const counts = createRequestCounts(clock);
  const reads = createTokenBucket(options.readsPerSecond ?? DEFAULT_READS_PER_SECOND, clock);
  const writes = createTokenBucket(options.writesPerSecond ?? DEFAULT_WRITES_PER_SECOND, clock);
  const weights = createTokenBucket(
    options.weightBytesPerSecond ?? DEFAULT_WEIGHT_BYTES_PER_SECOND,
    clock,
  );
  const stopped = new AbortController();
  // Each delayed request waits on this signal.
  setMaxListeners(0, stopped.signal);

  const commit = (transaction: StoredTransaction): Answer => {
    const result = tables.commit(transaction);
    if (result.conflict) {
      counts.add("conflicts");
      return { status: 409, json: result.conflict };
    }
    counts.add("rowsWritten", transaction.writes.length);
    return { json: { versions: result.versions } };
  };

  const handle = (req: IncomingMessage, path: string, body: Uint8Array, ageMs: number): Answer => {
    const json = () => JSON.parse(new TextDecoder().decode(body));
    const [, area = "", ...rest] = path.split("/");
    const name = decodeURIComponent(rest.join("/"));
    switch (`${req.method} ${area}`) {
      case "POST tables": {
        const request = json();
        if (name === "read") {
          return { json: { rows: tables.read(request.table, request.keys, ageMs) } };
        }
        if (name === "list") return { json: { rows: tables.list(request.table, request, ageMs) } };
        return name === "commit" ? commit(request) : { status: 404 };
      }
      case "GET objects": {
        const found = objects.get(name);
        return found ? { bytes: found } : { status: 404 };
      }
      case "PUT objects":
        objects.set(name, body);
        return { json: {} };
      case "DELETE objects":
        objects.delete(name);
        return { json: {} };
      case "GET hosts":
        return { json: { hosts: hosts.list() } };
      case "PUT hosts":
        hosts.put(name, json());
        return { json: {} };
      case "DELETE hosts":
        hosts.remove(name);
        return { json: {} };
      case "GET weights":
        return { json: { bytes: options.weights?.[name] ?? DEFAULT_WEIGHT_BYTES } };
      case "POST weights":
        return { json: { waitMs: weights.reserve(json().bytes) } };
      default:
        return { status: 404 };
    }
  };

  const send = (res: ServerResponse, answer: Answer) => {
    const bytes = answer.bytes ?? Buffer.from(JSON.stringify(answer.json ?? {}));
    res.writeHead(answer.status ?? 200, {
      "content-type": answer.bytes ? "application/octet-stream" : "application/json",
      "content-length": bytes.length,
    }).end(bytes);
  };

  const isRead = (req: IncomingMessage, path: string) =>
    req.method === "GET" || path === "/tables/read" || path === "/tables/list";

  const changeFaults = (change: FaultChange) => {
    faultSwitch.change(change);
    if (change.readsPerSecond !== undefined) reads.setRate(change.readsPerSecond);
    if (change.writesPerSecond !== undefined) writes.setRate(change.writesPerSecond);
  };

  const control = (path: string, body: Uint8Array): Answer => {
    if (path === "/test/faults") changeFaults(JSON.parse(new TextDecoder().decode(body)));
    if (path === "/test/counts/reset") counts.reset();
    return { json: path === "/test/counts" ? counts.read() : {} };
  };

  const refuse = (status: number, reason: string): Answer => ({
    status,
    json: { reason, tookEffect: false },
  });

  const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const path = new URL(req.url ?? "/", "http://platform").pathname;
    const body = await readBody(req);
    if (path.startsWith("/test/")) return send(res, control(path, body));
    const client = String(req.headers["x-client"] ?? "");
    const faults = faultSwitch.faultsOf(client);
    const reading = isRead(req, path);
    counts.request(client, reading ? "reads" : "writes");
    if (faults.outage !== undefined) {
      counts.fault("outage");
      if (faults.outage === "refuse") send(res, refuse(503, "unavailable"));
      if (faults.outage === "reset") req.socket.destroy();
      return;
    }
    if (!(reading ? reads : writes).take(1)) {
      counts.add("overBudget");
      return send(res, refuse(429, "over_budget"));
    }
    if (faults.delayMs) await sleep(faults.delayMs, stopped.signal);
    if (reading) {
      const isStale = path.startsWith("/tables/") && faultSwitch.isHit(faults.staleReads);
      if (isStale) counts.fault("staleReads");
      return send(res, handle(req, path, body, isStale ? faults.staleReads!.ageMs : 0));
    }
    if (faultSwitch.isHit(faults.dropWrites)) {
      counts.fault("dropWrites");
      return;
    }
    if (faultSwitch.isHit(faults.lateWrites)) {
      counts.fault("lateWrites");
      await sleep(faults.lateWrites!.delayMs, stopped.signal);
      handle(req, path, body, 0);
      req.socket.destroy();
      return;
    }
    const answer = handle(req, path, body, 0);
    if (!faultSwitch.isHit(faults.loseAnswers)) return send(res, answer);
    counts.fault("loseAnswers");
    if (!faults.loseAnswers!.silent) req.socket.destroy();
  };

  const server = createServer((req, res) => {
    serve(req, res).catch((err) => {
      if (!res.headersSent && !stopped.signal.aborted) {
        send(res, { status: 400, json: { reason: String(err), tookEffect: false } });
      }
    });
  });
  server.keepAliveTimeout = 30_000;
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port ?? 0, options.host ?? "127.0.0.1", resolve);
  });
  const { address, port } = server.address() as AddressInfo;
  return {
    url: `http://${address}:${port}`,
    port,
    setFaults: (faults, change = {}) => changeFaults({ ...change, faults }),
    counts: () => counts.read(),
    resetCounts: () => counts.reset(),
    async stop() {
      stopped.abort();
      const closed = new Promise((resolve) => server.close(resolve));
      server.closeAllConnections();
      await closed;
    },
  };
}
