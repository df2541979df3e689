import { computePassMs, computePrefillMs } from "@jaypass/placement";
import type { EngineProfile } from "@jaypass/placement";
import type { EventQueue } from "./engine_model.ts";

/** What becomes of a request in the model. */
export interface PassRequest {
  /** Tokens of the prompt. */
  promptTokens: number;
  /** Events of the answer; each holds the tokens of one pass. */
  events: number;
  /** Among the requests that wait for a slot, lower ones go first. */
  urgency: number;
  /** Called for each event of the answer; the first one follows the last part of the read. */
  onEvent: () => void;
  /** Called when the answer is whole. */
  onEnd: () => void;
}

/** A model engine that works in passes and reads parts of other engines' prompts. */
export interface PassEngine {
  /** Takes a request; `helpers` read equal parts of its prompt. */
  submit(request: PassRequest, helpers: readonly PassEngine[]): void;
  /** Takes a part of a prompt that another engine answers. */
  addHelperPart(part: PrefillPart): void;
  /** Takes a request or its parts away, since its caller left. */
  cancel(request: PassRequest): void;
}

/** A part of a prompt on one engine. */
export interface PrefillPart {
  /** Request that the part belongs to. */
  request: PassRequest;
  /** Milliseconds of reading that are left. */
  leftMs: number;
  /** Called when the part is read. */
  onPrefilled: () => void;
}

interface Running {
  request: PassRequest;
  /** Parts that are not read yet; the request writes once there are none. */
  openParts: number;
  eventsLeft: number;
}

/**
 * Creates an engine that batches continuously.
 *
 * Parts of other engines' prompts are read before its own prompts, the newest part first, so a long
 * part that comes later holds up an earlier one until it is read. That order is concluded from logs
 * (docs/measurements/placement.md).
 *
 * @param queue simulated time
 * @param profile cost figures
 * @returns the engine, idle
 *
 * @example
 * const engine = createPassEngine(queue, profile);
 * engine.submit({ promptTokens: 5_000, events: 40, urgency: 2, onEvent, onEnd }, []);
 */
export function createPassEngine(queue: EventQueue, profile: EngineProfile): PassEngine {
  const waiting: { request: PassRequest; helpers: readonly PassEngine[] }[] = [];
  const running: Running[] = [];
  const ownReads: PrefillPart[] = [];
  const helped: PrefillPart[] = [];
  let isBusy = false;

  const admit = () => {
    while (running.length < profile.slots && waiting.length > 0) {
      const first = waiting.reduce((best, other) =>
        other.request.urgency < best.request.urgency ? other : best
      );
      waiting.splice(waiting.indexOf(first), 1);
      const { request, helpers } = first;
      const parts = helpers.length + 1;
      const entry: Running = { request, openParts: parts, eventsLeft: request.events };
      running.push(entry);
      const leftMs = computePrefillMs(request.promptTokens, profile) / parts;
      const onRead = () => void (entry.openParts -= 1);
      ownReads.push({ request, leftMs, onPrefilled: onRead });
      for (const helper of helpers) helper.addHelperPart({ request, leftMs, onPrefilled: onRead });
    }
  };

  const nextRead = () => helped[helped.length - 1] ?? ownReads[0];

  /** Reads for a time, one part after another; returns the milliseconds that were used. */
  const read = (mostMs: number) => {
    let usedMs = 0;
    for (let part = nextRead(); part !== undefined && usedMs < mostMs; part = nextRead()) {
      const takenMs = Math.min(part.leftMs, mostMs - usedMs);
      part.leftMs -= takenMs;
      usedMs += takenMs;
      if (part.leftMs > 0) break;
      if (helped.at(-1) === part) helped.pop();
      else ownReads.shift();
      part.onPrefilled();
    }
    return usedMs;
  };

  /** A request whose read ended in the pass gives its first event with it. */
  const endPass = () => {
    for (const entry of running.filter(({ openParts }) => openParts === 0)) {
      entry.eventsLeft -= 1;
      entry.request.onEvent();
      if (entry.eventsLeft > 0) continue;
      running.splice(running.indexOf(entry), 1);
      entry.request.onEnd();
    }
    pass();
  };

  const pass = () => {
    admit();
    const writers = running.filter((entry) => entry.openParts === 0);
    if (writers.length === 0 && nextRead() === undefined) {
      isBusy = false;
      // Helpers elsewhere may end the read of a request here, which no event of this engine shows.
      if (running.length > 0) schedule(profile.stepMs);
      return;
    }
    const chunkMs = profile.chunkTokens / profile.readTokensPerMs;
    const contextTokens = writers.reduce((sum, { request }) => sum + request.promptTokens, 0);
    const writeMs = writers.length === 0
      ? 0
      : computePassMs(writers.length, contextTokens, profile);
    const steps = writers.length === 0 ? 1 : profile.stepsPerPass;
    schedule(writeMs + read(chunkMs * steps));
  };

  const schedule = (lengthMs: number) => {
    isBusy = true;
    queue.at(queue.nowMs() + lengthMs, endPass);
  };

  const wake = () => {
    if (!isBusy) pass();
  };

  const removeParts = (parts: PrefillPart[], request: PassRequest) => {
    for (const part of parts.filter((one) => one.request === request)) {
      parts.splice(parts.indexOf(part), 1);
    }
  };

  return {
    submit(request, helpers) {
      waiting.push({ request, helpers });
      wake();
    },
    addHelperPart(part) {
      helped.push(part);
      wake();
    },
    cancel(request) {
      const waits = waiting.findIndex((entry) => entry.request === request);
      if (waits >= 0) waiting.splice(waits, 1);
      const runs = running.findIndex((entry) => entry.request === request);
      if (runs >= 0) running.splice(runs, 1);
      removeParts(helped, request);
      removeParts(ownReads, request);
    },
  };
}
