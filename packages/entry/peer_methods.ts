import { definePeerMethod } from "@jaypass/peers";
import { z } from "zod";

const holderSchema = z.object({ host: z.string(), incarnation: z.string() });

/** Asks an earlier holder of a lease to drop its retained share. */
export const RELINQUISH_METHOD = definePeerMethod({
  service: "Leases",
  name: "Relinquish",
  req: z.object({ name: z.string(), holder: holderSchema, fencing: z.number() }),
  res: z.object({ answer: z.enum(["released", "newer_incarnation", "unknown"]) }),
});

/** Asks the owner of an attempt whether it has ended. */
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

/** Asks a host for its state, for operators. */
export const HOST_STATUS_METHOD = definePeerMethod({
  service: "Operators",
  name: "Status",
  req: z.object({}),
  res: z.object({ revision: z.number(), pools: z.array(z.record(z.string(), z.unknown())) }),
});
