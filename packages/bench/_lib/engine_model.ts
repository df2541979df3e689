/** Queue model of an engine: chunked prefill by priority, then output at a fixed pace. */
export interface ModelEngine {
  id: string;
  /** Requests admitted into the batch. */
  running: number;
  usedTokens: number;
  /** Adds a request; it waits inside the engine while slots or memory are used up. */
  submit(job: ModelJob): void;
  /** Prefill and waiting work in tokens. */
  queuedTokens(): number;
}

/** A request in the model. */
export interface ModelJob {
  promptTokens: number;
  outputTokens: number;
  priority: number;
  onFirstToken: () => void;
  onEnd: () => void;
}

/** Simulated time with events in order. */
export interface EventQueue {
  nowMs(): number;
  at(timeMs: number, action: () => void): void;
  /** Runs events until a time. */
  runUntil(endMs: number): void;
  /** Runs the next event; false when there is none. */
  runNext(): boolean;
}

/** Creates a queue of events at time 0, kept in a binary heap. */
export function createEventQueue(): EventQueue {
  const heap: { timeMs: number; order: number; action: () => void }[] = [];
  let nowMs = 0;
  let order = 0;
  const isBefore = (a: number, b: number) =>
    heap[a]!.timeMs < heap[b]!.timeMs ||
    (heap[a]!.timeMs === heap[b]!.timeMs && heap[a]!.order < heap[b]!.order);
  const swap = (a: number, b: number) => ([heap[a], heap[b]] = [heap[b]!, heap[a]!]);
  const pop = () => {
    const top = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) return top;
    heap[0] = last;
    for (let i = 0;;) {
      let least = i;
      for (const child of [2 * i + 1, 2 * i + 2]) {
        if (child < heap.length && isBefore(child, least)) least = child;
      }
      if (least === i) return top;
      swap(i, least);
      i = least;
    }
  };
  return {
    nowMs: () => nowMs,
    at(timeMs, action) {
      heap.push({ timeMs: Math.max(timeMs, nowMs), order: order++, action });
      for (let i = heap.length - 1; i > 0 && isBefore(i, (i - 1) >> 1); i = (i - 1) >> 1) {
        swap(i, (i - 1) >> 1);
      }
    },
    runUntil(endMs) {
      while (heap.length > 0 && heap[0]!.timeMs <= endMs) {
        const { timeMs, action } = pop();
        nowMs = timeMs;
        action();
      }
      nowMs = endMs;
    },
    runNext() {
      if (heap.length === 0) return false;
      const { timeMs, action } = pop();
      nowMs = timeMs;
      action();
      return true;
    },
  };
}

/** Properties of a model engine. */
export interface ModelEngineOptions {
  events: EventQueue;
  prefillTokensPerSecond: number;
  msPerOutputToken: number;
  slots: number;
  memoryTokens: number;
  /** Tokens of a prefill step, after which a more urgent request may go first. */
  chunkTokens: number;
  /** Whether the engine orders its work by priority; else by arrival. */
  hasPriorities: boolean;
}

/** Creates an idle engine. */
export function createModelEngine(id: string, options: ModelEngineOptions): ModelEngine {
  const { events } = options;
  interface Entry {
    job: ModelJob;
    leftTokens: number;
    order: number;
  }
  const waiting: Entry[] = [];
  const prefilling: Entry[] = [];
  let order = 0;
  let isBusy = false;
  const urgency = (entry: Entry) => options.hasPriorities ? entry.job.priority : 0;
  const pick = (entries: Entry[]) =>
    entries.reduce((a, b) =>
      urgency(b) < urgency(a) || (urgency(b) === urgency(a) && b.order < a.order) ? b : a
    );
  const size = ({ job }: Entry) => job.promptTokens + job.outputTokens;
  const engine: ModelEngine = {
    id,
    running: 0,
    usedTokens: 0,
    submit(job) {
      waiting.push({ job, leftTokens: job.promptTokens, order: order++ });
      step();
    },
    queuedTokens: () =>
      [...waiting, ...prefilling].reduce((sum, { leftTokens }) => sum + leftTokens, 0),
  };
  const admit = () => {
    while (waiting.length > 0) {
      const next = pick(waiting);
      const isFull = engine.running >= options.slots ||
        engine.usedTokens + size(next) > options.memoryTokens;
      if (isFull) return;
      waiting.splice(waiting.indexOf(next), 1);
      engine.running += 1;
      engine.usedTokens += size(next);
      prefilling.push(next);
    }
  };
  const step = () => {
    admit();
    if (isBusy || prefilling.length === 0) return;
    isBusy = true;
    const entry = pick(prefilling);
    const tokens = Math.min(options.chunkTokens, entry.leftTokens);
    events.at(events.nowMs() + tokens / options.prefillTokensPerSecond * 1_000, () => {
      isBusy = false;
      entry.leftTokens -= tokens;
      if (entry.leftTokens <= 0) {
        prefilling.splice(prefilling.indexOf(entry), 1);
        entry.job.onFirstToken();
        events.at(events.nowMs() + entry.job.outputTokens * options.msPerOutputToken, () => {
          engine.running -= 1;
          engine.usedTokens -= size(entry);
          entry.job.onEnd();
          step();
        });
      }
      step();
    });
  };
  return engine;
}
