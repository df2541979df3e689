import { Metadata, type ServiceError, status } from "@grpc/grpc-js";
import { decodeMessage, encodeMessage } from "./codec.ts";
import { PEER_FAILURE, PeerError, type PeerFailure, PeerRefusal } from "../errors.ts";
import { z } from "zod";

const FAILURE_KEY = "jaypass-failure-bin";
const failureSchema = z.object({
  ran: z.enum(["not_run", "unknown"]).optional(),
  reason: z.enum(Object.values(PEER_FAILURE) as [PeerFailure, ...PeerFailure[]]).optional(),
  code: z.string().optional(),
  detail: z.unknown().optional(),
});

/** Converts the error of a handler to the gRPC status that its caller receives. */
export function toStatus(err: unknown): Partial<ServiceError> {
  const metadata = new Metadata();
  if (err instanceof PeerRefusal) {
    metadata.set(FAILURE_KEY, encodeMessage({ code: err.code, detail: err.detail }));
    return { code: status.FAILED_PRECONDITION, details: err.message, metadata };
  }
  const { ran, reason } = err instanceof PeerError
    ? err
    : { ran: "unknown", reason: PEER_FAILURE.HANDLER_FAILED };
  metadata.set(FAILURE_KEY, encodeMessage({ ran, reason }));
  return { code: status.INTERNAL, details: (err as Error)?.message ?? String(err), metadata };
}

const REASON_BY_CODE: Partial<Record<status, PeerFailure>> = {
  [status.DEADLINE_EXCEEDED]: PEER_FAILURE.TIMEOUT,
  [status.CANCELLED]: PEER_FAILURE.CANCELLED,
  [status.UNIMPLEMENTED]: PEER_FAILURE.UNIMPLEMENTED,
};

/** Converts the status of a failed gRPC call to the error that is thrown to the caller. */
export function fromStatus(err: ServiceError, path: string): PeerError | PeerRefusal {
  const raw = err.metadata?.get(FAILURE_KEY)[0];
  if (raw instanceof Uint8Array) {
    try {
      const failure = decodeMessage(failureSchema, raw);
      if (failure.code !== undefined) return new PeerRefusal(failure.code, failure.detail);
      if (failure.ran !== undefined && failure.reason !== undefined) {
        const { ran, reason } = failure;
        return new PeerError(`"${path}" failed at the peer: ${err.details}`, { ran, reason });
      }
    } catch { /* an invalid trailer is treated as absent */ }
  }
  const reason = REASON_BY_CODE[err.code] ?? PEER_FAILURE.CONNECTION_LOST;
  // The gRPC server responds with UNIMPLEMENTED only when no handler is registered.
  const ran = err.code === status.UNIMPLEMENTED ? "not_run" : "unknown";
  return new PeerError(`"${path}" failed: ${err.details}`, { ran, reason, cause: err });
}
