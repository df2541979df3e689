// A request that crashes each server that begins to run it comes again every few seconds, at any host.
import { call, chooseNetwork, EXIT, isTrouble, openRecord, play, startHosts, wait, ZONES } from "../lib/world.mjs";
import { startEngine } from "../lib/engine.mjs";
import { startStore } from "../lib/store.mjs";

const HOSTS = 6;
const RUN_MS = 75_000;
const POISON_EVERY_MS = 5_000;
const STABLE_WINDOW_MS = 3_000;
/** Retries of the request that may reach servers later than the window after its third crash. */
const MAX_RETRIES = 3;
/** Calls a second on the other service, whose servers are never in trouble. */
const OTHER_PER_S = 8;

const CONFIG = {
  version: 3,
  routes: [
    { name: "lookup", host: "front.example", prefix: "/lookup/", kind: "idempotent", timeout_ms: 2_500,
      target_latency_ms: 300, priority: 1, service: "desk", max_attempts: 2, public: false, sticky: false, resumable: false },
    { name: "notes", host: "front.example", prefix: "/notes/", kind: "idempotent", timeout_ms: 2_500,
      target_latency_ms: 300, priority: 1, service: "notes", max_attempts: 2, public: false, sticky: false, resumable: false },
  ],
  services: ["desk", "notes"].map((name) => ({ name, health_path: "/health", max_conns: 248, protocol: "h1", tls: false,
    cold_start_s: 0, cold_per_s: 0 })),
  limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
  tenants: [{ name: "tenant-a", api_keys: ["key-a"], priority: 1 }],
};

const isPoison = ({ url }) => url === "/lookup/customer-77";

await play(async (onEnd) => {
  const record = openRecord(new URL("record.txt", import.meta.url).pathname);
  onEnd(() => record.flush());
  const network = await chooseNetwork();
  const storePort = network.port + 30;
  const addresses = Array.from({ length: HOSTS }, (_, at) => ({ reader: at, ip: network.ip(200 + at), port: storePort }));
  const store = await startStore({ addresses });
  onEnd(() => store.close());
  store.write("op", "config", CONFIG);

  const crashes = [];
  const arrivals = [];
  const seen = new Set();
  const onArrival = (request, engine) => {
    const isRetry = seen.has(request.attempt);
    seen.add(request.attempt);
    if (!isPoison(request)) return;
    arrivals.push({ atMs: performance.now(), isRetry });
    record.add("ran", engine.id, request.attempt, isRetry ? "retry" : "first", "lookup/customer-77");
  };
  for (const service of ["desk", "notes"]) {
    for (const [at, zone] of ZONES.entries()) {
      const engine = await startEngine({
        store, service, zone, name: `${service}-${zone}`, ip: network.ip(150 + at), port: network.port + (service === "desk" ? 40 : 41),
        slots: 6, workMs: 40, onArrival, downMs: 3_000, crashAfterMs: 20,
        crashes(request) {
          if (!isTrouble || !isPoison(request)) return false;
          crashes.push(performance.now());
          record.add("crash", engine.id);
          return true;
        },
      });
      onEnd(() => engine.close());
    }
  }
  const fleet = await startHosts({ count: HOSTS, network, storeAddress: (_name, at) => `${network.ip(200 + at)}:${storePort}` });
  onEnd(() => fleet.stop());
  if (!await fleet.waitReady()) return EXIT.NOT_RUN;
  await wait(4_000);

  const headers = { "Jaypass-Key": "key-a" };
  const statuses = {};
  let isOver = false;
  const others = (async () => {
    for (let at = 0; !isOver; at++) {
      const host = fleet.hosts[at % HOSTS];
      void call({ ip: host.ip, port: network.port, method: "GET", path: `/notes/n${at}`, headers, deadlineMs: 2_503 })
        .then(({ status }) => statuses[status] = (statuses[status] ?? 0) + 1);
      await wait(1_000 / OTHER_PER_S);
    }
  })();
  const endMs = performance.now() + RUN_MS;
  for (let at = 0; performance.now() < endMs; at++) {
    const host = fleet.hosts[at % HOSTS];
    const answer = await call({ ip: host.ip, port: network.port, method: "GET", path: "/lookup/customer-77", headers, deadlineMs: 2_503 });
    record.add("answer", host.name, answer.attempt, answer.status, answer.retryAfter ?? "");
    await wait(Math.max(0, POISON_EVERY_MS - answer.elapsedMs));
  }
  isOver = true;
  await others;
  record.add("other calls by status", JSON.stringify(statuses));
  const hasEnded = fleet.hosts.some(({ exited }) => exited);
  const thirdMs = crashes[2] ?? Infinity;
  const late = arrivals.filter(({ atMs }) => atMs > thirdMs + STABLE_WINDOW_MS);
  const lateRetries = late.filter(({ isRetry }) => isRetry).length;
  const summary = `crashes=${crashes.length} late_arrivals=${late.length} late_retries=${lateRetries} allowed=${MAX_RETRIES}`;
  record.add(summary);
  console.log(summary, JSON.stringify(statuses));
  if (arrivals.length === 0 || hasEnded) return EXIT.NOT_RUN;
  return lateRetries > MAX_RETRIES ? EXIT.BROKEN : EXIT.HELD;
});
