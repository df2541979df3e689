/**
 * Messages that hosts exchange for admission.
 *
 * @module
 */
import type { PeerMethod } from "@jaypass/peers";
import { z } from "zod";
import { GRANT_OUTCOME, LANE, REFUSAL } from "./types.ts";

const ownerSchema = z.object({
  host: z.string(),
  incarnation: z.string(),
  address: z.string(),
});

const acquireRequestSchema = z.object({
  requestId: z.string(),
  serves: z.string(),
  workspace: z.string(),
  fingerprint: z.string(),
  promptTokens: z.number().nonnegative(),
  maxTokens: z.number().nonnegative(),
  prefixBlocks: z.array(z.string()),
  remainingMs: z.number(),
  firstTokenRemainingMs: z.number(),
  exclude: z.array(z.string()),
});

const grantSchema = z.object({
  grantId: z.string(),
  requestId: z.string(),
  pool: z.string(),
  coordinator: z.string(),
  servers: z.array(z.object({
    id: z.string(),
    url: z.string(),
    dataCentre: z.string(),
    restartCount: z.number().optional(),
  })),
  priority: z.number(),
  lane: z.enum(LANE),
  fencing: z.number(),
  dispatchWithinMs: z.number(),
  explanation: z.string(),
});

const resultSchema = z.object({
  outcome: z.enum(GRANT_OUTCOME),
  firstTokenMs: z.number().optional(),
  totalMs: z.number().optional(),
  outputTokens: z.number().optional(),
  restartCount: z.number().optional(),
});

const heldGrantSchema = z.object({
  grant: grantSchema,
  fingerprint: z.string(),
  tokensPerServer: z.number(),
  remainingMs: z.number(),
});

const endedGrantSchema = z.object({
  grantId: z.string(),
  pool: z.string(),
  requestId: z.string(),
  serverIds: z.array(z.string()),
  result: resultSchema,
});

/** A time of a coordinator's clock, which a host returns with its next report. */
const markSchema = z.object({ epoch: z.string(), atMs: z.number() });

const acquireCallSchema = z.object({
  pool: z.string(),
  acquireId: z.string(),
  owner: ownerSchema,
  req: acquireRequestSchema,
});

const acquireReplySchema = z.discriminatedUnion("type", [
  z.object({ type: z.literal("granted"), grant: grantSchema, waitMs: z.number() }),
  z.object({
    type: z.literal("refused"),
    reason: z.enum(REFUSAL),
    message: z.string(),
    retryAfterMs: z.number(),
    /** Peer address of the coordinator, if the called host knows another one. */
    holder: z.string().optional(),
  }),
  z.object({ type: z.literal("queued"), waitMs: z.number() }),
]);

const reportSchema = z.object({
  owner: ownerSchema,
  pools: z.array(z.object({
    pool: z.string(),
    mark: markSchema.optional(),
    held: z.array(heldGrantSchema),
    ended: z.array(endedGrantSchema),
  })),
});

const reportReplySchema = z.object({
  pools: z.array(z.object({
    pool: z.string(),
    /** Whether the called host coordinates the pool. */
    isAccepted: z.boolean(),
    mark: markSchema.optional(),
    holder: z.string().optional(),
    waitMs: z.record(z.string(), z.number()).optional(),
  })),
});

const releaseSchema = z.object({ owner: ownerSchema, ended: z.array(endedGrantSchema) });
const releaseReplySchema = z.object({ confirmed: z.array(z.string()) });
const findSchema = z.object({ requestId: z.string(), owner: ownerSchema });
const findReplySchema = z.object({ held: heldGrantSchema.optional() });

/** A host's report to one coordinator. */
export type Report = z.infer<typeof reportSchema>;
/** The answer to a report. */
export type ReportReply = z.infer<typeof reportReplySchema>;
/** One call of `Acquire`. */
export type AcquireMessage = z.infer<typeof acquireCallSchema>;
/** The answer to one call of `Acquire`. */
export type AcquireReply = z.infer<typeof acquireReplySchema>;
/** A grant that the reporting host holds. */
export type HeldGrant = z.infer<typeof heldGrantSchema>;
/** A grant that has ended, reported until its coordinator confirms it. */
export type EndedGrant = z.infer<typeof endedGrantSchema>;
/** The process of a host that holds grants. */
export type GrantOwner = z.infer<typeof ownerSchema>;

function method<Req, Res>(
  name: string,
  req: z.ZodType<Req>,
  res: z.ZodType<Res>,
): PeerMethod<Req, Res> {
  return { path: `/jaypass.Admission/${name}`, req, res, streaming: false };
}

/** Waits for a grant, a refusal, or the answer to call again. */
export const ACQUIRE = method("Acquire", acquireCallSchema, acquireReplySchema);
/** Reports held and ended grants, at intervals. */
export const REPORT = method("Report", reportSchema, reportReplySchema);
/** Ends grants. */
export const RELEASE = method("Release", releaseSchema, releaseReplySchema);
/** Finds the grant of a request and adds the caller to its owners. */
export const FIND = method("Find", findSchema, findReplySchema);
/** Describes the pools that the called host coordinates. */
export const DESCRIBE = method(
  "Describe",
  z.object({ pool: z.string().optional() }),
  z.object({ pools: z.array(z.record(z.string(), z.unknown())) }),
);

const quotaSchema = z.object({
  shard: z.string(),
  owner: ownerSchema,
  /** Increases with each message of a host, so that a delayed older message is ignored. */
  sequence: z.number(),
  entries: z.array(z.object({
    workspace: z.string(),
    /** Slots that the host holds, in use or idle. */
    held: z.number(),
    /** Additional slots for requests that wait. */
    want: z.number(),
    /** Additional slots ahead of need, granted only while at least half of the slots are free. */
    spare: z.number(),
  })),
});

const quotaReplySchema = z.object({
  isAccepted: z.boolean(),
  holder: z.string().optional(),
  /** Whether the coordinator still collects held slots; the host should ask again soon. */
  isCollecting: z.boolean().optional(),
  entries: z.array(z.object({
    workspace: z.string(),
    granted: z.number(),
    /** Whether most slots are taken, so that idle ones should be returned at once. */
    isTight: z.boolean(),
  })),
});

/** A host's held and wanted slots for the workspaces of one shard. */
export type QuotaMessage = z.infer<typeof quotaSchema>;
/** The answer to a quota message. */
export type QuotaReply = z.infer<typeof quotaReplySchema>;

/** Reports held quota slots and requests more. */
export const QUOTA = method("Quota", quotaSchema, quotaReplySchema);
