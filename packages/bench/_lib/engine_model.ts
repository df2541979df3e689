/** Queueing model of an engine: chunked prefill by priority, then decoding at a fixed rate. */
export interface ModelEngine {
  id: string;
  /** Requests admitted into the batch. */
  running: number;
  /** Memory that these requests occupy. */
  usedTokens: number;
  /** Adds a request, which queues in the engine until a slot and enough memory are free. */
  submit(job: ModelJob): void;
  /** Prompt tokens that are queued or in prefill. */
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

/** Simulated clock with a queue of events in order of time. */
export interface EventQueue {
  nowMs(): number;
  at(timeMs: number, action: () => void): void;
  /** Runs the events up to a time and sets the clock to it. */
  runUntil(endMs: number): void;
  /** Runs the next event. Returns false when the queue is empty. */
  runNext(): boolean;
}

/** Creates an empty event queue at time 0, based on a binary heap. */
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
  /** Tokens per prefill chunk. After each chunk a request of higher priority may preempt. */
  chunkTokens: number;
  /** Whether the engine schedules by priority instead of by arrival. */
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
