/** What is done with a caller's connection. */
export const CONNECTION_STEP = {
  /** It stays open, or is being closed. */
  KEEP: "keep",
  /** It is closed; the caller has got all answers that it will get. */
  CLOSE: "close",
  /** It is closed with a refusal, which answers a request that may be on its way. */
  REFUSE: "refuse",
} as const;

/** One of {@linkcode CONNECTION_STEP}. */
export type ConnectionStep = typeof CONNECTION_STEP[keyof typeof CONNECTION_STEP];

/** State of a caller's connection. */
export interface ConnectionState {
  /** Number of requests whose answers have not left the host. */
  requests: number;
  /** Number of these that arrived completely or whose answers have ended. */
  wholeRequests: number;
  /** True if an answer has announced the close, after which Node.js closes the connection. */
  isCloseAnnounced: boolean;
  /** True if no further request can be read from the connection. */
  isUnreadable: boolean;
  /** True once the host accepts no connection any more. */
  isExiting: boolean;
}

/**
 * Chooses what is done with a connection when a request on it has ended, or when the host exits.
 *
 * @param state state of the connection
 * @returns the step
 *
 * @example
 * chooseConnectionStep({ ...state, requests: 0, isExiting: true }); // "refuse"
 */
export function chooseConnectionStep(state: ConnectionState): ConnectionStep {
  const { requests, wholeRequests, isCloseAnnounced, isUnreadable, isExiting } = state;
  if (isUnreadable) return wholeRequests === 0 ? CONNECTION_STEP.CLOSE : CONNECTION_STEP.KEEP;
  if (isCloseAnnounced || requests > 0 || !isExiting) return CONNECTION_STEP.KEEP;
  return CONNECTION_STEP.REFUSE;
}
