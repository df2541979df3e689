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
const broadcastSchema = z.object({ id: z.string(), topic: z.string(), payload: z.unknown() });

/** Changes that a heartbeat and its response carry; a field is absent when nothing changed. */
const gossipSchema = z.object({
  hosts: z.array(hostSchema).optional(),
  digests: z.record(z.string(), z.number()).optional(),
  casts: z.array(broadcastSchema).optional(),
});

const requestSchema = gossipSchema.extend({
  from: z.string(),
  /** Random number of the sender's process. */
  epoch: z.number(),
  /** Version of the sender's change log up to which this message carries the changes. */
  ver: z.number(),
  /** Epoch of the receiver's process that the sender knows; 0 if it knows none. */
  to: z.number(),
  /** Version of the receiver's change log up to which the sender has received the changes. */
  since: z.number(),
  /** Hashes of the sender's whole view, sent until the views have been compared. */
  summary: bytesSchema.optional(),
  /** Checksum of the sender's whole view, included once in `HEARTBEATS_PER_CHECKSUM`. */
  check: z.number().optional(),
});

const responseSchema = gossipSchema.extend({
  id: z.string(),
  epoch: z.number(),
  ver: z.number(),
  /** Hashes of the ids whose records the responding host lacks. */
  wants: bytesSchema.optional(),
  /** Asks the calling host to send a summary with its next heartbeat. */
  resync: z.boolean().optional(),
});

const identitySchema = z.object({ host: z.string(), incarnation: z.string() });

/** Changes of host records, digests and broadcasts. */
export type GossipPayload = z.infer<typeof gossipSchema>;
/** Request of a heartbeat. */
export type HeartbeatRequest = z.infer<typeof requestSchema>;
/** Response to a heartbeat. */
export type HeartbeatResponse = z.infer<typeof responseSchema>;
/** A broadcast message. */
export type Broadcast = z.infer<typeof broadcastSchema>;

/** Exchanges the changes since the last heartbeat. */
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
