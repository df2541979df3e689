import { createEventQueue } from "./_lib/engine_model.ts";
import { createSeededRandom } from "./_lib/workload.ts";

/**
 * Compares the alternatives of section 4.1 of the design: how far each exceeds the limit of a cold
 * engine, how much of it each leaves unused, and which wait each adds.
 *
 * Model: hosts with Poisson arrivals, service times between 100 and 600 ms, a 1 ms round trip to a
 * coordinator in the data centre, 5 ms for a write of the store.
 */
const SEED = 11;
const HOSTS = 18;
const LIMIT = 4;
const DURATION_MS = 300_000;
const ARRIVALS_PER_SECOND = 9;
const LAG_MS = 500;
const ROUND_TRIP_MS = 1;
const STORE_WRITE_MS = 5;
const PATIENCE_MS = 5_000;

const ALTERNATIVES = [
  "a: each host alone, lagged load",
  "b: static share per host, at least 0",
  "b': static share per host, at least 1",
  "c: lease per slot in the store",
  "d: coordinator",
] as const;

function simulate(alternative: typeof ALTERNATIVES[number]) {
  const events = createEventQueue();
  const random = createSeededRandom(SEED);
  const perHost = Array.from({ length: HOSTS }, () => 0);
  const queue: { host: number; atMs: number; serviceMs: number }[] = [];
  const waits: number[] = [];
  let running = 0;
  let most = 0;
  let overMs = 0;
  let busyMs = 0;
  let lastMs = 0;
  let lagged = 0;
  let refused = 0;
  let writes = 0;
  const account = () => {
    const spanMs = events.nowMs() - lastMs;
    lastMs = events.nowMs();
    busyMs += Math.min(running, LIMIT) * spanMs;
    if (running > LIMIT) overMs += spanMs;
  };
  const share = (host: number) =>
    alternative.startsWith("b:")
      ? Math.floor(LIMIT / HOSTS) + (host < LIMIT % HOSTS ? 1 : 0)
      : Math.max(1, Math.floor(LIMIT / HOSTS));
  const mayStart = (host: number) => {
    if (alternative.startsWith("a")) return lagged < LIMIT;
    if (alternative.startsWith("b")) return perHost[host]! < share(host);
    return running < LIMIT;
  };
  const addedMs = alternative.startsWith("c")
    ? STORE_WRITE_MS
    : alternative.startsWith("d")
    ? ROUND_TRIP_MS
    : 0;
  const pump = () => {
    for (const entry of [...queue]) {
      const isLate = events.nowMs() - entry.atMs > PATIENCE_MS;
      if (!isLate && !mayStart(entry.host)) continue;
      queue.splice(queue.indexOf(entry), 1);
      if (isLate) {
        refused += 1;
        continue;
      }
      account();
      running += 1;
      perHost[entry.host]! += 1;
      most = Math.max(most, running);
      if (alternative.startsWith("c")) writes += 2;
      waits.push(events.nowMs() - entry.atMs + addedMs);
      events.at(events.nowMs() + addedMs + entry.serviceMs, () => {
        account();
        running -= 1;
        perHost[entry.host]! -= 1;
        pump();
      });
    }
  };
  const report = () => {
    const now = running;
    events.at(events.nowMs() + LAG_MS, () => {
      lagged = now;
      pump();
    });
    if (events.nowMs() < DURATION_MS) events.at(events.nowMs() + 100, report);
  };
  events.at(0, report);
  for (let atMs = 0, n = 0; atMs < DURATION_MS; n++) {
    atMs -= Math.log(1 - random()) / ARRIVALS_PER_SECOND * 1_000;
    const entry = { host: Math.floor(random() * HOSTS), atMs, serviceMs: 100 + 500 * random() };
    events.at(atMs, () => {
      queue.push(entry);
      pump();
    });
  }
  events.runUntil(DURATION_MS);
  account();
  waits.sort((a, b) => a - b);
  return [
    alternative,
    most,
    `${(100 * overMs / DURATION_MS).toFixed(1)}%`,
    `${(100 * busyMs / (LIMIT * DURATION_MS)).toFixed(0)}%`,
    `${waits[Math.floor(waits.length * 0.5)]!.toFixed(0)} ms`,
    `${waits[Math.floor(waits.length * 0.95)]!.toFixed(0)} ms`,
    `${waits.length}`,
    refused,
    (writes / DURATION_MS * 1_000).toFixed(1),
  ];
}

console.log(
  "alternative | most at once (limit 4) | time above limit | limit used | wait p50 | wait p95 | " +
    "started | refused | store writes/s",
);
for (const alternative of ALTERNATIVES) console.log(simulate(alternative).join(" | "));
