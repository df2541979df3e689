/**
 * Compares the alternatives of section 4.1 of the design document: how far each exceeds the limit of a
 * cold engine, which share of the limit it uses, and how long requests wait.
 *
 * Model: hosts with Poisson arrivals, service times between 100 and 600 ms, a round trip of 1 ms to a
 * coordinator in the same data centre, and 5 ms per write to the store.
 *
 * @module
 */
import { createEventQueue } from "./_lib/engine_model.ts";
import { createSeededRandom } from "./_lib/workload.ts";

const SEED = 11;
const HOSTS = 18;
const LIMIT = 4;
const DURATION_MS = 300_000;
const ARRIVALS_PER_SECOND = 9;
/** Delay after which hosts see the load of the engine in alternative a. */
const LOAD_REPORT_LAG_MS = 500;
const ROUND_TRIP_MS = 1;
const STORE_WRITE_MS = 5;

/** Time in the queue after which a request is refused. */
const QUEUE_TIMEOUT_MS = 5_000;

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
  let highestRunning = 0;
  let aboveLimitMs = 0;
  let busyMs = 0;
  let lastMs = 0;
  let reportedRunning = 0;
  let refused = 0;
  let writes = 0;
  const recordElapsedTime = () => {
    const spanMs = events.nowMs() - lastMs;
    lastMs = events.nowMs();
    busyMs += Math.min(running, LIMIT) * spanMs;
    if (running > LIMIT) aboveLimitMs += spanMs;
  };
  const share = (host: number) =>
    alternative.startsWith("b:")
      ? Math.floor(LIMIT / HOSTS) + (host < LIMIT % HOSTS ? 1 : 0)
      : Math.max(1, Math.floor(LIMIT / HOSTS));
  const mayStart = (host: number) => {
    if (alternative.startsWith("a")) return reportedRunning < LIMIT;
    if (alternative.startsWith("b")) return perHost[host]! < share(host);
    return running < LIMIT;
  };
  const addedMs = alternative.startsWith("c")
    ? STORE_WRITE_MS
    : alternative.startsWith("d")
    ? ROUND_TRIP_MS
    : 0;
  const dispatchQueue = () => {
    for (const entry of [...queue]) {
      const isLate = events.nowMs() - entry.atMs > QUEUE_TIMEOUT_MS;
      if (!isLate && !mayStart(entry.host)) continue;
      queue.splice(queue.indexOf(entry), 1);
      if (isLate) {
        refused += 1;
        continue;
      }
      recordElapsedTime();
      running += 1;
      perHost[entry.host]! += 1;
      highestRunning = Math.max(highestRunning, running);
      if (alternative.startsWith("c")) writes += 2;
      waits.push(events.nowMs() - entry.atMs + addedMs);
      events.at(events.nowMs() + addedMs + entry.serviceMs, () => {
        recordElapsedTime();
        running -= 1;
        perHost[entry.host]! -= 1;
        dispatchQueue();
      });
    }
  };
  const report = () => {
    const now = running;
    events.at(events.nowMs() + LOAD_REPORT_LAG_MS, () => {
      reportedRunning = now;
      dispatchQueue();
    });
    if (events.nowMs() < DURATION_MS) events.at(events.nowMs() + 100, report);
  };
  events.at(0, report);
  for (let atMs = 0, n = 0; atMs < DURATION_MS; n++) {
    atMs -= Math.log(1 - random()) / ARRIVALS_PER_SECOND * 1_000;
    const entry = { host: Math.floor(random() * HOSTS), atMs, serviceMs: 100 + 500 * random() };
    events.at(atMs, () => {
      queue.push(entry);
      dispatchQueue();
    });
  }
  events.runUntil(DURATION_MS);
  recordElapsedTime();
  waits.sort((a, b) => a - b);
  return [
    alternative,
    highestRunning,
    `${(100 * aboveLimitMs / DURATION_MS).toFixed(1)}%`,
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
