/**
 * Compares ordered reservation of declared engine sets with try-and-back-off, for prompts that need
 * several engines at once.
 *
 * Model: 8 engines, each of which serves one prompt part at a time. Prompts that need 2 to 5 engines
 * arrive as a Poisson process and occupy them for 5 to 20 s. With try-and-back-off a prompt reserves one
 * engine after another, with one round trip each. When an engine is occupied, the prompt keeps its
 * reservations for up to a second, then releases all of them and retries after a random pause, whose mean
 * doubles up to 8 s.
 *
 * @module
 */
import { createEventQueue } from "./_lib/engine_model.ts";
import { createSeededRandom } from "./_lib/workload.ts";

const SEEDS = [21, 22, 23];
const ENGINES = 8;
const DURATION_MS = 1_800_000;
const ROUND_TRIP_MS = 1;
/** Time for which a blocked prompt keeps its reservations, with try-and-back-off. */
const MAX_BLOCKED_MS = 1_000;
const LOADS = [0.3, 0.5, 0.7];

const ALL_ENGINES = Array.from({ length: ENGINES }, (_, n) => n);
const STRATEGIES = [
  "declared at the arrival, in order",
  "declared anew in each round, in order",
  "try and back off",
] as const;

interface Prompt {
  atMs: number;
  /** Number of engines that the prompt needs. */
  size: number;
  /** Engines that the prompt has declared or occupies. */
  engines: number[];
  serviceMs: number;
}

function createPrompts(seed: number, load: number): Prompt[] {
  const random = createSeededRandom(seed);
  const prompts: Prompt[] = [];
  // On average a prompt occupies 3.5 engines for 12.5 s.
  const perMs = load * ENGINES / (3.5 * 12_500);
  for (let atMs = 0; atMs < DURATION_MS;) {
    atMs -= Math.log(1 - random()) / perMs;
    const size = 2 + Math.floor(random() * 4);
    prompts.push({ atMs, size, engines: [], serviceMs: 5_000 + 15_000 * random() });
  }
  return prompts;
}

function run(prompts: readonly Prompt[], strategy: typeof STRATEGIES[number], seed: number) {
  const isOrdered = strategy !== STRATEGIES[2];
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
      if (strategy === STRATEGIES[1]) {
        // Prefers free engines, among those that no earlier prompt claims.
        prompt.engines = ALL_ENGINES.filter((engine) => !claimed.has(engine))
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
    // Each attempt prefers the engines that are free at its start, in random order.
    prompt.engines = ALL_ENGINES.map((engine) => ({
      engine,
      key: random() + (holder[engine] ? 1 : 0),
    }))
      .sort((a, b) => a.key - b.key).slice(0, prompt.size).map(({ engine }) => engine);
    const held: { engine: number; sinceMs: number }[] = [];
    let blockedSinceMs: number | undefined;
    const next = () => {
      const engine = prompt.engines[held.length];
      if (engine === undefined) {
        start(prompt);
        return;
      }
      if (holder[engine] === undefined) {
        holder[engine] = prompt;
        held.push({ engine, sinceMs: events.nowMs() });
        blockedSinceMs = undefined;
        events.at(events.nowMs() + ROUND_TRIP_MS, next);
        return;
      }
      blockedSinceMs ??= events.nowMs();
      if (events.nowMs() - blockedSinceMs < MAX_BLOCKED_MS) {
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
      // Chooses the engines with the fewest claims at the arrival of the prompt.
      const claims = (engine: number) =>
        waiting.filter(({ engines }) => engines.includes(engine)).length +
        (holder[engine] === undefined ? 0 : 1);
      prompt.engines = [...ALL_ENGINES].sort((a, b) => claims(a) - claims(b) || a - b)
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
  for (const way of STRATEGIES) {
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
