import { definePeerMethod } from "@jaypass/peers";
import { z } from "zod";

const holderSchema = z.object({ host: z.string(), incarnation: z.string() });

/** Requests that a previous holder of a lease give up the share that it still retains. */
export const RELINQUISH_METHOD = definePeerMethod({
  service: "Leases",
  name: "Relinquish",
  req: z.object({ name: z.string(), holder: holderSchema, fencing: z.number() }),
  res: z.object({ answer: z.enum(["released", "newer_incarnation", "unknown"]) }),
});

/** Requests the status of an attempt from the host that owns it. */
export const CALL_STATUS_METHOD = definePeerMethod({
  service: "Calls",
  name: "Status",
  req: z.object({
    owner: holderSchema.extend({ address: z.string() }),
    record: z.string(),
    attempt: z.string(),
  }),
  res: z.object({
    answer: z.enum(["in_progress", "finished", "newer_incarnation", "unreachable"]),
  }),
});

/** Requests the status of a host on behalf of an operator. */
export const HOST_STATUS_METHOD = definePeerMethod({
  service: "Operators",
  name: "Status",
  req: z.object({}),
  res: z.object({ revision: z.number(), pools: z.array(z.record(z.string(), z.unknown())) }),
});
