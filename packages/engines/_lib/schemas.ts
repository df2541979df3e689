import { z } from "zod";

/** Answer that confirms a call for one request. */
export const CONFIRMATION = z.object({ requestId: z.string() });

/** Answer to a management command. */
export const ORDER_ANSWER = z.object({ accepted: z.literal(true) });

/** Requests for which an engine holds memory. */
export const ACTIVE = z.object({
  requests: z.array(z.object({
    requestId: z.string(),
    tokens: z.number(),
    fencing: z.number(),
    state: z.enum(["waiting", "running", "finished", "reserved"]),
  })),
});

/** Load report of an engine or a plain service. */
export const LOAD = z.object({
  restartCount: z.number(),
  warm: z.boolean(),
  running: z.number(),
  usedTokens: z.number(),
  memoryTokens: z.number(),
  ageMs: z.number(),
  models: z.record(z.string(), z.string()),
  role: z.string(),
});

/** Changes of an engine's prefix cache. */
export const CACHE_EVENTS = z.object({
  events: z.array(z.object({
    seq: z.number(),
    kind: z.enum(["stored", "evicted"]),
    block: z.string(),
  })),
});

/** Result stored under an idempotency key. */
export const STORED_RESULT = z.object({
  key: z.string(),
  requestId: z.string(),
  status: z.number(),
  contentType: z.string(),
  body: z.base64(),
  restartCount: z.number(),
});
