import type { ZodType } from "zod";
import type { PeerMethod } from "./types.ts";

/** Options of {@linkcode definePeerMethod}. */
export interface PeerMethodOptions<Req, Res> {
  /** Service name, for example `Admission`. */
  service: string;
  /** Method name, for example `Acquire`. */
  name: string;
  /** Schema with which the server validates requests. */
  req: ZodType<Req>;
  /** Schema with which the caller validates responses. */
  res: ZodType<Res>;
  /** Whether the handler responds with a stream of messages; `false` by default. */
  streaming?: boolean;
}

/**
 * Defines a method that hosts call on one another.
 *
 * @param options names and message schemas
 * @returns the method, for servers and pools
 *
 * @example
 * const probe = definePeerMethod({ service: "Membership", name: "Probe", req: z.object({}), res });
 */
export function definePeerMethod<Req, Res>(
  options: PeerMethodOptions<Req, Res>,
): PeerMethod<Req, Res> {
  const { service, name, req, res, streaming = false } = options;
  return { path: `/jaypass.${service}/${name}`, req, res, streaming };
}
