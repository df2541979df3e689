import { z } from "zod";
import { MAX_EVENT_LINE_BYTES } from "../constants.ts";
import { EngineError } from "../errors.ts";
import type { EngineEvent } from "../types.ts";
import type { Exchange } from "./open_exchange.ts";
import { crossedError, protocolError, readRefusal } from "./read_answer.ts";

const requestId = z.string();

const WIRE_EVENT = z.discriminatedUnion("type", [
  z.object({ type: z.literal("token"), requestId, index: z.number(), text: z.string() }),
  z.object({
    type: z.literal("end"),
    requestId,
    totalTokens: z.number(),
    cachedTokens: z.number(),
  }),
  z.object({ type: z.literal("accepted"), requestId, restartCount: z.number() }),
  z.object({ type: z.literal("progress"), requestId, computedTokens: z.number() }),
  z.object({ type: z.literal("error"), requestId, code: z.string(), message: z.string() }),
]);

/** Values that {@linkcode readEvents} checks the events against. */
export interface EventReadOptions {
  requestId: string;
  /** Expected index of the first token. */
  fromIndex: number;
  onAccepted?: (restartCount: number) => void;
}

/**
 * Reads the events of a stream and checks that they belong to the request, have consecutive token
 * indices, and end with the right total.
 */
export async function* readEvents(
  exchange: Exchange,
  options: EventReadOptions,
): AsyncGenerator<EngineEvent, void> {
  const { status } = await exchange.head();
  if (status !== 200) throw await readRefusal(exchange, options.requestId);
  let nextIndex = options.fromIndex;
  for await (const line of readLines(exchange)) {
    const parsed = parseEvent(line);
    if (!parsed) throw exchange.fail(protocolError("Event does not match the protocol"));
    if (parsed.requestId !== options.requestId) {
      throw exchange.fail(crossedError(parsed.requestId));
    }
    if (parsed.type === "accepted") {
      options.onAccepted?.(parsed.restartCount);
    } else if (parsed.type === "token") {
      if (parsed.index !== nextIndex) {
        const message = `Token "${parsed.index}" came instead of "${nextIndex}"`;
        throw exchange.fail(protocolError(message));
      }
      nextIndex += 1;
      yield parsed;
    } else if (parsed.type === "error") {
      const code = parsed.code === "lost" ? "died" : "rejected";
      const error = { code, ran: "ran", reason: parsed.code } as const;
      throw exchange.fail(new EngineError(`Engine ended the request: "${parsed.code}"`, error));
    } else if (parsed.type === "end") {
      if (parsed.totalTokens !== nextIndex) {
        const message = `End after "${nextIndex}" tokens names "${parsed.totalTokens}"`;
        throw exchange.fail(
          parsed.totalTokens > nextIndex ? cutError(message) : protocolError(message),
        );
      }
      yield parsed;
      return;
    }
  }
  throw cutError(`Stream ended after "${nextIndex}" tokens without an end event`);
}

async function* readLines(exchange: Exchange): AsyncGenerator<string, void> {
  const decoder = new TextDecoder();
  let rest = "";
  for (let chunk = await exchange.read(); chunk; chunk = await exchange.read()) {
    const lines = (rest + decoder.decode(chunk, { stream: true })).split("\n");
    rest = lines.pop() ?? "";
    if (rest.length > MAX_EVENT_LINE_BYTES) {
      throw exchange.fail(protocolError("Event line is too long"));
    }
    yield* lines.filter((line) => line !== "");
  }
  // A last line without a newline is incomplete and is ignored.
}

function parseEvent(line: string) {
  try {
    return WIRE_EVENT.safeParse(JSON.parse(line)).data;
  } catch {
    return undefined;
  }
}

function cutError(message: string): EngineError {
  return new EngineError(message, { code: "cut", ran: "ran" });
}
