import { LRUCache } from "lru-cache";
import { AbortedError } from "@jaypass/kernel";
import { ANSWER_RETENTION_MS, MAX_RETAINED_ANSWERS } from "./constants.ts";
import { RequestError } from "./errors.ts";
import type { Answer, AnswerToken } from "./types.ts";

/** An answer and the functions that extend and follow it. */
export interface AnswerEntry {
  readonly answer: Answer;
  /** Appends a token. */
  push(text: string): void;
  finish(): void;
  fail(err: RequestError): void;
  /** Streams the tokens from an index until the answer ends; fails if the answer failed. */
  follow(from: number, signal: AbortSignal): AsyncGenerator<AnswerToken>;
  /** Sets the listener that is called when the number of followers changes. */
  onFollowerCountChange(listener: (followers: number) => void): void;
}

/** Answers of a host: running ones and, for a limited time, ended ones. */
export interface AnswerStore {
  create(init: Pick<Answer, "requestId" | "workspace" | "model" | "promptTokens">): AnswerEntry;
  find(requestId: string): AnswerEntry | undefined;
  running(): number;
}

/**
 * Creates the store of a host's answers.
 *
 * @returns an empty store; ended answers expire after a minute, or earlier if too many
 *
 * @example
 * const answers = createAnswerStore();
 * const entry = answers.create({ requestId, workspace, model, promptTokens: 1_200 });
 */
export function createAnswerStore(): AnswerStore {
  const running = new Map<string, AnswerEntry>();
  const ended = new LRUCache<string, AnswerEntry>({
    max: MAX_RETAINED_ANSWERS,
    ttl: ANSWER_RETENTION_MS,
  });
  return {
    create(init) {
      const entry = createEntry({ ...init, tokens: [], state: "running", cachedTokens: 0 }, () => {
        running.delete(init.requestId);
        ended.set(init.requestId, entry);
      });
      running.set(init.requestId, entry);
      return entry;
    },
    find: (requestId) => running.get(requestId) ?? ended.get(requestId),
    running: () => running.size,
  };
}

function createEntry(answer: Answer, onEnd: () => void): AnswerEntry {
  const waiters = new Set<() => void>();
  let followers = 0;
  let followersListener: (followers: number) => void = () => {};

  const notifyWaiters = () => {
    for (const onChange of [...waiters]) onChange();
  };
  const end = (state: "done" | "failed") => {
    if (answer.state !== "running") return;
    answer.state = state;
    onEnd();
    notifyWaiters();
  };
  const waitForChange = (signal: AbortSignal) =>
    new Promise<void>((resolve) => {
      const onChange = () => {
        waiters.delete(onChange);
        signal.removeEventListener("abort", onChange);
        resolve();
      };
      waiters.add(onChange);
      signal.addEventListener("abort", onChange, { once: true });
    });

  async function* follow(from: number, signal: AbortSignal): AsyncGenerator<AnswerToken> {
    followersListener(++followers);
    try {
      let index = from;
      while (true) {
        if (signal.aborted) throw new AbortedError("Caller is gone");
        if (index < answer.tokens.length) {
          yield { index, text: answer.tokens[index]! };
          index++;
        } else if (answer.state === "running") {
          await waitForChange(signal);
        } else {
          break;
        }
      }
      if (answer.failure) throw new RequestError(answer.failure.message, answer.failure);
    } finally {
      followersListener(--followers);
    }
  }

  return {
    answer,
    push(text) {
      answer.tokens.push(text);
      notifyWaiters();
    },
    finish: () => end("done"),
    fail(err) {
      if (answer.state === "running") {
        const { reason, ran, message, retryAfterMs } = err;
        answer.failure = { reason, ran, message, retryAfterMs };
      }
      end("failed");
    },
    follow,
    onFollowerCountChange(listener) {
      followersListener = listener;
    },
  };
}
