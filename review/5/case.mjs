// A stream that crashes each model engine a little after its first events comes again every few seconds.
import { call, chooseNetwork, EXIT, isTrouble, openRecord, play, startHosts, wait, ZONES } from "../lib/world.mjs";
import { startEngine } from "../lib/engine.mjs";
import { startStore } from "../lib/store.mjs";

const HOSTS = 6;
const ENGINES = 14;
const RUN_MS = 60_000;
const POISON_EVERY_MS = 5_000;
const STABLE_WINDOW_MS = 3_000;
/** Retries of the request that may reach engines later than the window after its third crash. */
const MAX_RETRIES = 3;
/** Sound requests a second for the same engines. */
const SOUND_PER_S = 20;
const EVENT_GAP_MS = 45;
const EVENTS = 38;
/** Time from the first event to the crash. */
const CRASH_AFTER_MS = Number(process.env.CRASH_AFTER_MS ?? 700);

const CONFIG = {
  version: 3,
  routes: [{ name: "questions", host: "front.example", prefix: "/questions/", kind: "streaming", timeout_ms: 10_000,
    target_latency_ms: 300, priority: 1, service: "models", max_attempts: 2, public: false, sticky: true, resumable: true,
    gap_goal_ms: 250 }],
  services: [{ name: "models", health_path: "/health", max_conns: 976, protocol: "h1", tls: false, cold_start_s: 3, cold_per_s: 36,
    engine: { slot_count: 11, kv_tokens: 405_000, token_kv_bytes: 163_840, link_mbps: 400_000, stride: 34, models: [{ name: "m" }],
      step_ms: 1.31, per_seq_ms: 0.00133, context_per_k: 0.00213, read_per_s: 154_000, pairs_per_m: 0.162, chunk: 2_048,
      report_lag_ms: 200, loads_per_s: 0, loads_at_once: 8, usual: { prompt: 4_960, answer: 1_266 }, hop_ms: 0.1, delays: [] } }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
  tenants: [{ name: "tenant-a", api_keys: ["key-a"], priority: 1 }],
};

const isPoison = ({ url }) => url === "/questions/night-77";

await play(async (onEnd) => {
  const record = openRecord(new URL("record.txt", import.meta.url).pathname);
  onEnd(() => record.flush());
  const network = await chooseNetwork();
  const storePort = network.port + 30;
  const addresses = Array.from({ length: HOSTS }, (_, at) => ({ ip: network.ip(100 + at), port: storePort }));
  const store = await startStore({ addresses });
  onEnd(() => store.close());
  store.write("op", "config", CONFIG);

  const crashes = [];
  const arrivals = [];
  const seen = new Set();
  const run = async ({ request, res, headers, engine, crash }) => {
    await wait(60);
    if (res.destroyed) return;
    res.writeHead(200, { ...headers, "Content-Type": "text/event-stream" });
    const first = Number(request.headers["last-event-id"] ?? 0) + 1;
    if (isTrouble && isPoison(request)) {
      setTimeout(() => {
        if (!engine.isUp) return;
        crashes.push(performance.now());
        record.add("crash", engine.id);
        crash();
      }, CRASH_AFTER_MS);
    }
    for (let at = first; at <= EVENTS && !res.destroyed; at++) {
      res.write(`id: ${at}\ndata: piece\n\n`);
      await wait(EVENT_GAP_MS);
    }
    res.end();
  };
  const onArrival = (request, engine) => {
    const isRetry = seen.has(request.attempt);
    seen.add(request.attempt);
    record.add("ran", engine.id, request.attempt, isRetry ? "retry" : "first", request.url);
    if (isPoison(request)) arrivals.push({ atMs: performance.now(), isRetry });
  };
  for (let at = 0; at < ENGINES; at++) {
    const engine = await startEngine({
      store, service: "models", zone: ZONES[at % 3], name: `model-${at}`, ip: network.ip(150 + at), port: network.port + 40,
      slots: 11, kvTotal: 405_000, run, onArrival, downMs: 3_000,
    });
    onEnd(() => engine.close());
  }
  const fleet = await startHosts({ count: HOSTS, network, storeAddress: (_name, at) => `${network.ip(100 + at)}:${storePort}` });
  onEnd(() => fleet.stop());
  if (!await fleet.waitReady()) return EXIT.NOT_RUN;
  await wait(4_000);

  const statuses = {};
  const send = async (at, path, part) => {
    const host = fleet.hosts[at % HOSTS];
    const answer = await call({
      ip: host.ip, port: network.port, path, body: "x".repeat(400), deadlineMs: 10_008,
      headers: { "Jaypass-Key": "key-a", "Jaypass-Model": "m", "Jaypass-Token-Counts": "4960,1266",
        "Jaypass-Prompt-Prefix": `5c1e07a2:40,${part}:4920` },
    });
    record.add("answer", host.name, answer.attempt, path, answer.status, answer.isComplete ? "complete" : "cut");
    return answer;
  };
  let isOver = false;
  const pending = [];
  const sound = (async () => {
    for (let at = 0; !isOver; at++) {
      pending.push(send(at, `/questions/q${at}`, (at + 4_096).toString(16)).then(({ status, isComplete }) => {
        const key = `${status}${isComplete ? "" : " cut"}`;
        statuses[key] = (statuses[key] ?? 0) + 1;
      }));
      await wait(1_000 / SOUND_PER_S);
    }
  })();
  const endMs = performance.now() + RUN_MS;
  for (let at = 0; performance.now() < endMs; at++) {
    const { elapsedMs } = await send(at, "/questions/night-77", "bad77");
    await wait(Math.max(0, POISON_EVERY_MS - elapsedMs));
  }
  isOver = true;
  await sound;
  await Promise.all(pending);
  const thirdMs = crashes[2] ?? Infinity;
  const late = arrivals.filter(({ atMs }) => atMs > thirdMs + STABLE_WINDOW_MS);
  const lateRetries = late.filter(({ isRetry }) => isRetry).length;
  const summary = `crashes=${crashes.length} late_arrivals=${late.length} late_retries=${lateRetries} allowed=${MAX_RETRIES} sound=${JSON.stringify(statuses)}`;
  record.add(summary);
  console.log(summary);
  if (arrivals.length === 0 || fleet.hosts.some(({ exited }) => exited)) return EXIT.NOT_RUN;
  return lateRetries > MAX_RETRIES ? EXIT.BROKEN : EXIT.HELD;
});
