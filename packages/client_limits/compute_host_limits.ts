import {
  BASE_MEMORY_BYTES,
  CALLER_DESCRIPTOR_SHARE,
  CONNECTION_COST_BYTES,
  HELD_MEMORY_SHARE,
  MAX_ADDRESS_SHARE,
  MIN_CALLER_CONNECTIONS,
  MIN_HELD_MEMORY_BYTES,
  RESERVED_DESCRIPTORS,
} from "./constants.ts";

const BYTES_PER_MEGABYTE = 1_048_576;

/** Limits on what callers make a host hold. */
export interface HostLimits {
  /** Bytes that the host holds for all connections of callers; undefined if there is no limit. */
  heldBytes: number | undefined;
  /** Open connections of callers; undefined if there is no limit. */
  connections: number | undefined;
  /** Open connections from one address; undefined if there is no limit. */
  addressConnections: number | undefined;
}

/**
 * Computes what a host may hold for its callers from the memory and descriptors of its machine.
 *
 * Answers the load of callers that open connections, or have the host hold bytes, without end. Each
 * connection may need a second descriptor, for the server that its request is sent to. Many users may
 * share one address, so that one address may have most of the connections, and not all of them.
 *
 * @param machine memory in megabytes and number of descriptors; undefined where not stated
 * @returns the limits; undefined without a statement
 *
 * @example
 * computeHostLimits({ memoryMb: 202, maxDescriptors: 2_870 }).connections; // 1,335
 */
export function computeHostLimits(
  { memoryMb, maxDescriptors }: {
    memoryMb: number | undefined;
    maxDescriptors: number | undefined;
  },
): HostLimits {
  const heldBytes = memoryMb === undefined ? undefined : Math.max(
    MIN_HELD_MEMORY_BYTES,
    Math.floor((memoryMb * BYTES_PER_MEGABYTE - BASE_MEMORY_BYTES) * HELD_MEMORY_SHARE),
  );
  const byDescriptors = maxDescriptors === undefined
    ? Infinity
    : (maxDescriptors - RESERVED_DESCRIPTORS) * CALLER_DESCRIPTOR_SHARE;
  const byMemory = heldBytes === undefined ? Infinity : heldBytes / CONNECTION_COST_BYTES;
  const connections = Math.max(
    MIN_CALLER_CONNECTIONS,
    Math.floor(Math.min(byDescriptors, byMemory)),
  );
  const isLimited = Number.isFinite(connections);
  return {
    heldBytes,
    connections: isLimited ? connections : undefined,
    addressConnections: isLimited ? Math.ceil(connections * MAX_ADDRESS_SHARE) : undefined,
  };
}
