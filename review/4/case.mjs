// The open connections to the store go silent for good while new ones work; then the configuration changes.
import { call, chooseNetwork, EXIT, isTrouble, openRecord, play, startHosts, wait, ZONES } from "../lib/world.mjs";
import { startEngine } from "../lib/engine.mjs";
import { startStore } from "../lib/store.mjs";

const HOSTS = Number(process.env.HOSTS ?? 18);
const CONFIG_MS = 2_000;
const STABLE_WINDOW_MS = 3_000;
const CALLS_PER_S = 60;
const CALM_MS = 12_000;
const WATCH_MS = 15_000;

const config = (version, service, keys) => ({
  version,
  routes: [
    { name: "lookup", host: "front.example", prefix: "/lookup/", kind: "idempotent", timeout_ms: 2_500,
      target_latency_ms: 300, priority: 1, service, max_attempts: 2, public: false, sticky: false, resumable: false },
  ],
  services: ["desk-old", "desk-new"].map((name) => ({ name, health_path: "/health", max_conns: 248, protocol: "h1",
    tls: false, cold_start_s: 0, cold_per_s: 0 })),
  limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
  tenants: [{ name: "tenant-a", api_keys: keys, priority: 1 }],
});

await play(async (onEnd) => {
  const record = openRecord(new URL("record.txt", import.meta.url).pathname);
  onEnd(() => record.flush());
  const network = await chooseNetwork();
  const storePort = network.port + 30;
  const addresses = Array.from({ length: HOSTS }, (_, at) => ({ ip: network.ip(100 + at), port: storePort }));
  const store = await startStore({ addresses });
  onEnd(() => store.close());
  store.write("op", "config", config(3, "desk-old", ["key-a", "key-b"]));
  const sent = new Map();
  const runs = [];
  for (const service of ["desk-old", "desk-new"]) {
    for (const [at, zone] of ZONES.entries()) {
      const engine = await startEngine({
        store, service, zone, name: `${service}-${zone}`, ip: network.ip(150 + at),
        port: network.port + (service === "desk-old" ? 40 : 41), slots: 6, workMs: 15,
        onRun(request, { id }) {
          record.add("ran", id, request.attempt);
          runs.push({ service, ...sent.get(request.attempt) });
        },
      });
      onEnd(() => engine.close());
    }
  }
  const fleet = await startHosts({ count: HOSTS, network, storeAddress: (_name, at) => `${network.ip(100 + at)}:${storePort}` });
  onEnd(() => fleet.stop());
  if (!await fleet.waitReady()) return EXIT.NOT_RUN;
  await wait(CALM_MS);

  const statuses = {};
  const pending = [];
  let isOver = false;
  const traffic = (async () => {
    for (let at = 0; !isOver; at++) {
      const host = fleet.hosts[at % HOSTS];
      const attempt = `l${at}`;
      // Every fifth call has the key that version 8 takes away.
      const key = at % 5 === 0 ? "key-b" : "key-a";
      sent.set(attempt, { sentMs: performance.now(), key });
      record.add("sent", host.name, attempt, key);
      pending.push(
        call({ ip: host.ip, port: network.port, method: "GET", path: `/lookup/c${at}`, headers: { "Jaypass-Key": key }, deadlineMs: 2_503, attempt })
          .then(({ status }) => {
            statuses[status] = (statuses[status] ?? 0) + 1;
            record.add("answer", host.name, attempt, status);
          }),
      );
      await wait(1_000 / CALLS_PER_S);
    }
  })();
  await wait(2_000);
  const muteMs = performance.now();
  if (isTrouble) record.add("open connections to the store go silent:", store.muteOpenConnections());
  await wait(100);
  store.write("op", "config", config(8, "desk-new", ["key-a"]));
  const ackMs = performance.now();
  record.add("configuration 8 acknowledged");
  await wait(WATCH_MS);
  isOver = true;
  await traffic;
  await Promise.all(pending);

  // In touch: no reset of connections in the whole stable window before the request.
  const fromMs = Math.max(ackMs + CONFIG_MS, isTrouble ? muteMs + STABLE_WINDOW_MS : 0);
  const late = runs.filter(({ service, sentMs }) => service === "desk-old" && sentMs > fromMs);
  const dropped = runs.filter(({ key, sentMs }) => key === "key-b" && sentMs > fromMs);
  const lastMs = Math.max(0, ...runs.filter(({ service }) => service === "desk-old").map(({ sentMs }) => sentMs - ackMs));
  const summary = `run_by_old_service_too_late=${late.length} run_with_dropped_key_too_late=${dropped.length} last_after_ack_ms=${Math.round(lastMs)} ` +
    `bound_ms=${Math.round(fromMs - ackMs)} statuses=${JSON.stringify(statuses)}`;
  record.add(summary);
  console.log(summary);
  if (fleet.hosts.some(({ exited }) => exited) || runs.length === 0) return EXIT.NOT_RUN;
  return late.length + dropped.length > 0 ? EXIT.BROKEN : EXIT.HELD;
});
