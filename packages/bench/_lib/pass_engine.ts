import { computePassMs, computePrefillMs } from "@jaypass/placement";
import type { EngineProfile } from "@jaypass/placement";
import type { EventQueue } from "./engine_model.ts";

/** Request to a model engine. */
export interface PassRequest {
  /** Tokens of the prompt. */
  promptTokens: number;
  /** Number of events of the answer. Each event holds the tokens of one pass. */
  events: number;
  /** Priority among the requests that wait for a slot; lower values are admitted first. */
  urgency: number;
  /** Called for each event of the answer. The first one follows the end of prefill. */
  onEvent: () => void;
  /** Called when the answer is complete. */
  onEnd: () => void;
}

/** Model of an engine with continuous batching that can prefill parts of other engines' prompts. */
export interface PassEngine {
  /** Adds a request. The engine and its `helpers` prefill equal parts of the prompt. */
  submit(request: PassRequest, helpers: readonly PassEngine[]): void;
  /** Adds a part of a prompt whose answer another engine generates. */
  addHelperPart(part: PrefillPart): void;
  /** Removes a request and its parts after its caller has disconnected. */
  cancel(request: PassRequest): void;
}

/** Part of a prompt that one engine prefills. */
export interface PrefillPart {
  /** Request that the part belongs to. */
  request: PassRequest;
  /** Remaining prefill time in milliseconds. */
  leftMs: number;
  /** Called when prefill of the part is complete. */
  onPrefilled: () => void;
}

interface Running {
  request: PassRequest;
  /** Parts of the prompt still in prefill. Decoding starts when there are none. */
  pendingParts: number;
  eventsLeft: number;
}

/**
 * Creates a model engine with continuous batching. Time is divided into passes, in each of which the
 * engine decodes for all running requests and prefills up to a limit.
 *
 * Parts of other engines' prompts are prefilled before its own prompts, newest part first. A long part
 * that arrives later therefore delays earlier ones until its prefill is complete. This order was inferred
 * from engine logs (docs/measurements/placement.md).
 *
 * @param queue simulated time
 * @param profile cost parameters of the engine
 * @param slowness returns the factor by which the engine is slower now; always 1 by default
 * @returns an idle engine
 *
 * @example
 * const engine = createPassEngine(queue, profile);
 * engine.submit({ promptTokens: 5_000, events: 40, urgency: 2, onEvent, onEnd }, []);
 */
export function createPassEngine(
  queue: EventQueue,
  profile: EngineProfile,
  slowness: () => number = () => 1,
): PassEngine {
  const waiting: { request: PassRequest; helpers: readonly PassEngine[] }[] = [];
  const running: Running[] = [];
  const ownParts: PrefillPart[] = [];
  const helperParts: PrefillPart[] = [];
  let isBusy = false;

  const admit = () => {
    while (running.length < profile.slots && waiting.length > 0) {
      const first = waiting.reduce((best, other) =>
        other.request.urgency < best.request.urgency ? other : best
      );
      waiting.splice(waiting.indexOf(first), 1);
      const { request, helpers } = first;
      const parts = helpers.length + 1;
      const entry: Running = { request, pendingParts: parts, eventsLeft: request.events };
      running.push(entry);
      const leftMs = computePrefillMs(request.promptTokens, profile) / parts;
      const onPrefilled = () => void (entry.pendingParts -= 1);
      ownParts.push({ request, leftMs, onPrefilled });
      for (const helper of helpers) helper.addHelperPart({ request, leftMs, onPrefilled });
    }
  };

  const nextPart = () => helperParts[helperParts.length - 1] ?? ownParts[0];

  /** Prefills for up to `mostMs`, one part after another. Returns the milliseconds used. */
  const prefill = (mostMs: number) => {
    let usedMs = 0;
    for (let part = nextPart(); part !== undefined && usedMs < mostMs; part = nextPart()) {
      const takenMs = Math.min(part.leftMs, mostMs - usedMs);
      part.leftMs -= takenMs;
      usedMs += takenMs;
      if (part.leftMs > 0) break;
      if (helperParts.at(-1) === part) helperParts.pop();
      else ownParts.shift();
      part.onPrefilled();
    }
    return usedMs;
  };

  /** Emits an event for each decoding request, including those whose prefill ended in this pass. */
  const endPass = () => {
    for (const entry of running.filter(({ pendingParts }) => pendingParts === 0)) {
      entry.eventsLeft -= 1;
      entry.request.onEvent();
      if (entry.eventsLeft > 0) continue;
      running.splice(running.indexOf(entry), 1);
      entry.request.onEnd();
    }
    runPass();
  };

  const runPass = () => {
    admit();
    const decoding = running.filter((entry) => entry.pendingParts === 0);
    if (decoding.length === 0 && nextPart() === undefined) {
      isBusy = false;
      // A helper may complete the prefill of a request of this engine without an event in this engine, so
      // it checks again after a step.
      if (running.length > 0) schedule(profile.stepMs);
      return;
    }
    const chunkMs = profile.chunkTokens / profile.readTokensPerMs;
    const contextTokens = decoding.reduce((sum, { request }) => sum + request.promptTokens, 0);
    const decodeMs = decoding.length === 0
      ? 0
      : computePassMs(decoding.length, contextTokens, profile);
    const steps = decoding.length === 0 ? 1 : profile.stepsPerPass;
    schedule(decodeMs + prefill(chunkMs * steps));
  };

  const schedule = (lengthMs: number) => {
    isBusy = true;
    queue.at(queue.nowMs() + lengthMs * slowness(), endPass);
  };

  const startIfIdle = () => {
    if (!isBusy) runPass();
  };

  const removeParts = (parts: PrefillPart[], request: PassRequest) => {
    for (const part of parts.filter((one) => one.request === request)) {
      parts.splice(parts.indexOf(part), 1);
    }
  };

  return {
    submit(request, helpers) {
      waiting.push({ request, helpers });
      startIfIdle();
    },
    addHelperPart(part) {
      helperParts.push(part);
      startIfIdle();
    },
    cancel(request) {
      const waits = waiting.findIndex((entry) => entry.request === request);
      if (waits >= 0) waiting.splice(waits, 1);
      const runs = running.findIndex((entry) => entry.request === request);
      if (runs >= 0) running.splice(runs, 1);
      removeParts(helperParts, request);
      removeParts(ownParts, request);
    },
  };
}
