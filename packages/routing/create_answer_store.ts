import { LRUCache } from "lru-cache";
import { AbortedError } from "@jaypass/kernel";
import { ANSWER_RETENTION_MS, MAX_RETAINED_ANSWERS } from "./constants.ts";
import { RequestError } from "./errors.ts";
import type { Answer, AnswerToken } from "./types.ts";

/** An answer with the means to extend and follow it. */
export interface AnswerEntry {
  readonly answer: Answer;
  /** Adds the token with the next index. */
  push(text: string): void;
  finish(): void;
  fail(err: RequestError): void;
  /** Streams tokens from an index on until the answer ends. */
  follow(from: number, signal: AbortSignal): AsyncGenerator<AnswerToken>;
  /** Calls back whenever the number of followers changes. */
  onFollowerCountChange(listener: (followers: number) => void): void;
}

/** Answers of a host: the running ones and, for a while, the ended ones. */
export interface AnswerStore {
  create(init: Pick<Answer, "requestId" | "workspace" | "model" | "promptTokens">): AnswerEntry;
  find(requestId: string): AnswerEntry | undefined;
  running(): number;
}

/**
 * Creates the store of a host's answers.
 *
 * @returns an empty store; ended answers leave it after a minute or when too many are kept
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
  const waiting = new Set<() => void>();
  let followers = 0;
  let followersListener: (followers: number) => void = () => {};

  const wake = () => {
    for (const resume of [...waiting]) resume();
  };
  const end = (state: "done" | "failed") => {
    if (answer.state !== "running") return;
    answer.state = state;
    onEnd();
    wake();
  };
  const changed = (signal: AbortSignal) =>
    new Promise<void>((resolve) => {
      const resume = () => {
        waiting.delete(resume);
        signal.removeEventListener("abort", resume);
        resolve();
      };
      waiting.add(resume);
      signal.addEventListener("abort", resume, { once: true });
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
          await changed(signal);
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
      wake();
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
