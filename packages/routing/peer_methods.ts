import { definePeerMethod } from "@jaypass/peers";
import { z } from "zod";

/** Requests the rest of an answer from a host. */
export const RESUME_METHOD = definePeerMethod({
  service: "Requests",
  name: "Resume",
  streaming: true,
  req: z.object({ requestId: z.string(), workspace: z.string(), from: z.number().int().min(0) }),
  res: z.object({
    /** Index of the first token in `texts`. */
    index: z.number().optional(),
    texts: z.array(z.string()).optional(),
    /** Set in the last message. */
    end: z.object({
      reason: z.string().optional(),
      ran: z.enum(["not_run", "unknown", "ran"]).optional(),
      message: z.string().optional(),
      retryAfterMs: z.number().optional(),
    }).optional(),
  }),
});

/** Requests the decisions of a host for a request. */
export const EXPLAIN_METHOD = definePeerMethod({
  service: "Requests",
  name: "Explain",
  req: z.object({ requestId: z.string() }),
  res: z.object({
    decisions: z.array(z.object({
      atMs: z.number(),
      event: z.string(),
      detail: z.record(z.string(), z.union([z.string(), z.number()]).optional()),
    })),
  }),
});
