/** What is done with a new connection of a caller. */
export const CONNECTION_DECISION = {
  /** It is served. */
  ACCEPT: "accept",
  /** It is served, and an idle connection is closed for it. */
  REPLACE_IDLE: "replace_idle",
  /** It is closed, since its address has too many. */
  REFUSE_ADDRESS: "refuse_address",
  /** It is closed, since the host has too many. */
  REFUSE: "refuse",
} as const;

/** One of {@linkcode CONNECTION_DECISION}. */
export type ConnectionDecision = typeof CONNECTION_DECISION[keyof typeof CONNECTION_DECISION];

/**
 * Decides whether a host serves a new connection.
 *
 * Answers the load of callers that open connections without end: a new connection is worth more than
 * one on which no request runs, except for an address that has its part already.
 *
 * @param state open connections without the new one, those of its address, idle ones, and the limits
 * @returns the decision
 *
 * @example
 * decideConnection({ open: 10, fromAddress: 10, idle: 10, limit: 100, addressLimit: 75 }); // "accept"
 */
export function decideConnection(
  { open, fromAddress, idle, limit, addressLimit }: {
    open: number;
    fromAddress: number;
    idle: number;
    limit: number;
    addressLimit: number;
  },
): ConnectionDecision {
  if (fromAddress >= addressLimit) return CONNECTION_DECISION.REFUSE_ADDRESS;
  if (open < limit) return CONNECTION_DECISION.ACCEPT;
  return idle > 0 ? CONNECTION_DECISION.REPLACE_IDLE : CONNECTION_DECISION.REFUSE;
}
