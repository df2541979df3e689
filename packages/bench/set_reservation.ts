import { createEventQueue } from "./_lib/engine_model.ts";
import { createSeededRandom } from "./_lib/workload.ts";

/**
 * Compares declared, ordered sets with try-and-back-off for prompts that need several engines.
 *
 * Model: 8 engines, each holding one large part at a time; prompts that need 2 to 5 engines arrive
 * by Poisson and hold them for 5 to 20 s. With try-and-back-off a prompt reserves one engine after
 * the other, one round trip each; when one is taken it keeps what it has for up to a second, then
 * gives everything back and tries again after a random pause that doubles up to 8 s.
 */
const SEEDS = [21, 22, 23];
const ENGINES = 8;
const DURATION_MS = 1_800_000;
const ROUND_TRIP_MS = 1;
const HOLD_WHILE_TRYING_MS = 1_000;
const LOADS = [0.3, 0.5, 0.7];

const ALL = Array.from({ length: ENGINES }, (_, n) => n);
const WAYS = [
  "declared at the arrival, in order",
  "declared anew in each round, in order",
  "try and back off",
] as const;

interface Prompt {
  atMs: number;
  /** Number of engines that it needs. */
  size: number;
  /** Engines that it has declared or holds. */
  engines: number[];
  serviceMs: number;
}

function createPrompts(seed: number, load: number): Prompt[] {
  const random = createSeededRandom(seed);
  const prompts: Prompt[] = [];
  // A prompt uses 3.5 engines for 12.5 s on average.
  const perMs = load * ENGINES / (3.5 * 12_500);
  for (let atMs = 0; atMs < DURATION_MS;) {
    atMs -= Math.log(1 - random()) / perMs;
    const size = 2 + Math.floor(random() * 4);
    prompts.push({ atMs, size, engines: [], serviceMs: 5_000 + 15_000 * random() });
  }
  return prompts;
}

function run(prompts: readonly Prompt[], way: typeof WAYS[number], seed: number) {
  const isOrdered = way !== WAYS[2];
  const events = createEventQueue();
  const random = createSeededRandom(seed + 1_000);
  const holder: (Prompt | undefined)[] = Array.from({ length: ENGINES }, () => undefined);
  const timesMs: number[] = [];
  let wastedMs = 0;
  const waiting: Prompt[] = [];
  const start = (prompt: Prompt) => {
    events.at(events.nowMs() + prompt.serviceMs, () => {
      for (const engine of prompt.engines) holder[engine] = undefined;
      timesMs.push(events.nowMs() - prompt.atMs);
      if (isOrdered) grantInOrder();
    });
  };
  const grantInOrder = () => {
    const claimed = new Set<number>();
    for (const prompt of [...waiting]) {
      if (way === WAYS[1]) {
        // Free engines that no earlier prompt claims come first.
        prompt.engines = ALL.filter((engine) => !claimed.has(engine))
          .sort((a, b) =>
            Number(holder[a] !== undefined) - Number(holder[b] !== undefined) || a - b
          )
          .slice(0, prompt.size);
        if (prompt.engines.length < prompt.size) return;
      }
      const isFree = prompt.engines.every((engine) =>
        holder[engine] === undefined && !claimed.has(engine)
      );
      for (const engine of prompt.engines) claimed.add(engine);
      if (!isFree) continue;
      waiting.splice(waiting.indexOf(prompt), 1);
      for (const engine of prompt.engines) holder[engine] = prompt;
      start(prompt);
    }
  };
  const attempt = (prompt: Prompt, pauseMs: number) => {
    // Each attempt starts with the engines that are free when it starts.
    prompt.engines = ALL.map((engine) => ({ engine, key: random() + (holder[engine] ? 1 : 0) }))
      .sort((a, b) => a.key - b.key).slice(0, prompt.size).map(({ engine }) => engine);
    const held: { engine: number; sinceMs: number }[] = [];
    let stuckSinceMs: number | undefined;
    const next = () => {
      const engine = prompt.engines[held.length];
      if (engine === undefined) {
        start(prompt);
        return;
      }
      if (holder[engine] === undefined) {
        holder[engine] = prompt;
        held.push({ engine, sinceMs: events.nowMs() });
        stuckSinceMs = undefined;
        events.at(events.nowMs() + ROUND_TRIP_MS, next);
        return;
      }
      stuckSinceMs ??= events.nowMs();
      if (events.nowMs() - stuckSinceMs < HOLD_WHILE_TRYING_MS) {
        events.at(events.nowMs() + 50, next);
        return;
      }
      for (const { engine, sinceMs } of held) {
        holder[engine] = undefined;
        wastedMs += events.nowMs() - sinceMs;
      }
      events.at(
        events.nowMs() + pauseMs * (0.5 + random()),
        () => attempt(prompt, Math.min(8_000, pauseMs * 2)),
      );
    };
    next();
  };
  for (const prompt of prompts) {
    events.at(prompt.atMs, () => {
      if (!isOrdered) return attempt(prompt, 250);
      // Engines with the fewest earlier claims, as far as they are known at the arrival.
      const claims = (engine: number) =>
        waiting.filter(({ engines }) => engines.includes(engine)).length +
        (holder[engine] === undefined ? 0 : 1);
      prompt.engines = [...ALL].sort((a, b) => claims(a) - claims(b) || a - b)
        .slice(0, prompt.size);
      waiting.push(prompt);
      grantInOrder();
    });
  }
  events.runUntil(DURATION_MS + 600_000);
  return { timesMs, wastedMs };
}

console.log("load | way | completed | time p50 | time p95 | time max | engine time wasted");
for (const load of LOADS) {
  for (const way of WAYS) {
    const timesMs: number[] = [];
    let wastedMs = 0;
    let count = 0;
    for (const seed of SEEDS) {
      const prompts = createPrompts(seed, load);
      const result = run(prompts, way, seed);
      timesMs.push(...result.timesMs);
      wastedMs += result.wastedMs;
      count += prompts.length;
    }
    timesMs.sort((a, b) => a - b);
    const at = (share: number) =>
      (timesMs[Math.floor((timesMs.length - 1) * share)]! / 1_000).toFixed(1);
    console.log([
      load,
      way,
      `${timesMs.length}/${count}`,
      `${at(0.5)} s`,
      `${at(0.95)} s`,
      `${at(1)} s`,
      `${(100 * wastedMs / (SEEDS.length * DURATION_MS * ENGINES)).toFixed(1)}%`,
    ].join(" | "));
  }
}
