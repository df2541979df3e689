import { definePeerMethod } from "@jaypass/peers";
import { HOST_STATE, type HostState } from "../types.ts";
import { z } from "zod";

const hostSchema = z.object({
  id: z.string(),
  incarnation: z.string(),
  dataCentre: z.string(),
  peerAddress: z.string(),
  callerUrl: z.string(),
  state: z.enum(Object.values(HOST_STATE) as [HostState, ...HostState[]]),
  seq: z.number(),
});

const bytesSchema = z.custom<Uint8Array>((value) => value instanceof Uint8Array);
const castSchema = z.object({ id: z.string(), topic: z.string(), payload: z.unknown() });

/** What a heartbeat and its answer carry; absent when nothing changed. */
const newsSchema = z.object({
  hosts: z.array(hostSchema).optional(),
  digests: z.record(z.string(), z.number()).optional(),
  casts: z.array(castSchema).optional(),
});

const requestSchema = newsSchema.extend({
  from: z.string(),
  /** Random number of the sender's process, and the version of its log that this news reaches. */
  epoch: z.number(),
  ver: z.number(),
  /** Process and log version of the receiver that the sender knows. */
  to: z.number(),
  since: z.number(),
  /** Hashes of the sender's whole view, on a new connection. */
  summary: bytesSchema.optional(),
  /** Hash of the sender's whole view, now and then. */
  check: z.number().optional(),
});

const responseSchema = newsSchema.extend({
  id: z.string(),
  epoch: z.number(),
  ver: z.number(),
  /** Hashes of the ids whose records the receiver lacks. */
  wants: bytesSchema.optional(),
  /** The sender should send a summary. */
  resync: z.boolean().optional(),
});

const identitySchema = z.object({ host: z.string(), incarnation: z.string() });

/** Changes of the view, digests and broadcasts. */
export type GossipPayload = z.infer<typeof newsSchema>;
/** Request of a heartbeat. */
export type HeartbeatRequest = z.infer<typeof requestSchema>;
/** Answer to a heartbeat. */
export type HeartbeatResponse = z.infer<typeof responseSchema>;
/** A broadcast message. */
export type Broadcast = z.infer<typeof castSchema>;

/** Exchanges what changed since the last heartbeat. */
export const HEARTBEAT = definePeerMethod({
  service: "Membership",
  name: "Heartbeat",
  req: requestSchema,
  res: responseSchema,
});

/** Asks which process runs at an address. */
export const IDENTIFY = definePeerMethod({
  service: "Membership",
  name: "Identify",
  req: z.object({}),
  res: identitySchema,
});

/** Asks a peer to identify the process at another address. */
export const PROBE_VIA = definePeerMethod({
  service: "Membership",
  name: "ProbeVia",
  req: z.object({ address: z.string() }),
  res: z.object({ answer: identitySchema.optional() }),
});
