// Cold engines of a plain service while the two hosts that read the store stand still.
import { call, chooseNetwork, EXIT, isTrouble, keepAliveAgent, newAttemptId, openRecord, play, startHosts, wait, ZONES } from "../lib/world.mjs";
import { startEngine } from "../lib/engine.mjs";
import { startStore } from "../lib/store.mjs";

const HOSTS = 18;
const COLD_PER_S = Number(process.env.COLD ?? 4);
const COLD_MULTIPLIER = 1.5;
const COLD_SLACK = 5;
const LIMIT = COLD_PER_S * COLD_MULTIPLIER + COLD_SLACK;
const COLD_START_MS = 12_000;
const CALLS_PER_S = Number(process.env.RATE ?? 70);
const FREEZE_MS = 3_500;

const CONFIG = {
  version: 3,
  routes: [
    { name: "lookup", host: "front.example", prefix: "/lookup/", kind: "idempotent", timeout_ms: 2_500,
      target_latency_ms: 300, priority: 1, service: "desk", max_attempts: 2, public: false, sticky: false, resumable: false },
  ],
  services: [{ name: "desk", health_path: "/health", max_conns: 248, protocol: "h1", tls: false,
    cold_start_s: COLD_START_MS / 1_000, cold_per_s: COLD_PER_S }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
  tenants: [{ name: "tenant-a", api_keys: ["key-a"], priority: 1 }],
};

await play(async (onEnd) => {
  const record = openRecord(new URL("record.txt", import.meta.url).pathname);
  onEnd(() => record.flush());
  const network = await chooseNetwork();
  const storePort = network.port + 30;
  const addresses = Array.from({ length: HOSTS }, (_, at) => ({ reader: at, ip: network.ip(100 + at), port: storePort }));
  const lastReadMs = new Map();
  const store = await startStore({
    addresses,
    onCall(reader, _method, path, table) {
      if (path === "/rows-feed" && table === "servers") lastReadMs.set(reader, performance.now());
    },
  });
  onEnd(() => store.close());
  store.write("op", "config", CONFIG);
  const fleet = await startHosts({ count: HOSTS, network, storeAddress: (_name, at) => `${network.ip(100 + at)}:${storePort}` });
  onEnd(() => fleet.stop());
  if (!await fleet.waitReady()) return EXIT.NOT_RUN;
  await wait(3_000);

  // The zone of the service's engines comes back: all of them are cold.
  const arrivals = new Map();
  const sentMs = new Map();
  const engines = [];
  for (let at = 0; at < 3; at++) {
    const engine = await startEngine({
      store, service: "desk", zone: ZONES[0], name: `desk-${at}`, ip: network.ip(150 + at), port: network.port + 40,
      slots: 6, workMs: 15, coldMs: () => COLD_START_MS,
      onArrival(request, { id }) {
        record.add("ran", id, request.attempt);
        const requests = arrivals.get(id) ?? [];
        requests.push({ sentMs: sentMs.get(request.attempt), atMs: performance.now() });
        arrivals.set(id, requests);
      },
    });
    engines.push(engine);
    onEnd(() => engine.close());
  }
  const coldEndMs = performance.now() + COLD_START_MS - 1_500;
  await wait(1_500);

  const statuses = {};
  const agent = keepAliveAgent();
  onEnd(() => agent.destroy());
  const frozen = new Set();
  const freeze = async () => {
    const readers = [...lastReadMs].sort((a, b) => b[1] - a[1]).slice(0, 2).map(([at]) => fleet.hosts[at]);
    for (const host of readers) {
      frozen.add(host);
      host.child.kill("SIGSTOP");
      record.add("freeze", host.name);
    }
    await wait(FREEZE_MS);
    for (const host of readers) {
      host.child.kill("SIGCONT");
      record.add("wake", host.name);
    }
    await wait(1_000);
    for (const host of readers) frozen.delete(host);
  };
  const freezeAtMs = performance.now() + 3_000;
  let hasFrozen = !isTrouble;
  const pending = [];
  for (let at = 0; performance.now() < coldEndMs; at++) {
    if (!hasFrozen && performance.now() >= freezeAtMs) {
      hasFrozen = true;
      pending.push(freeze());
    }
    const host = fleet.hosts[at % HOSTS];
    if (!frozen.has(host)) {
      const attempt = newAttemptId();
      sentMs.set(attempt, performance.now());
      record.add("sent", host.name, attempt);
      pending.push(
        call({ attempt, ip: host.ip, port: network.port, method: "GET", path: `/lookup/c${at}`, headers: { "Jaypass-Key": "key-a" }, deadlineMs: 2_503, agent })
          .then(({ status }) => {
            statuses[status] = (statuses[status] ?? 0) + 1;
            record.add("answer", host.name, attempt, status);
          }),
      );
    }
    await wait(1_000 / CALLS_PER_S);
  }
  await Promise.all(pending);
  let worst = 0;
  for (const [id, requests] of arrivals) {
    // Counted are requests that were sent and arrived inside the same second.
    for (const { sentMs: fromMs } of requests) {
      const inside = requests.filter((each) => each.sentMs >= fromMs && each.atMs < fromMs + 1_000);
      worst = Math.max(worst, inside.length);
    }
    record.add("engine", id, "requests", requests.length);
  }
  const summary = `most_in_a_second=${worst} limit=${LIMIT} statuses=${JSON.stringify(statuses)}`;
  record.add(summary);
  console.log(summary);
  if (fleet.hosts.some(({ exited }) => exited) || arrivals.size === 0) return EXIT.NOT_RUN;
  return worst > LIMIT ? EXIT.BROKEN : EXIT.HELD;
});
