/**
 * Figures of a forwarding host.
 *
 * @module
 */

/** Milliseconds that a hub has to answer a placement; a round trip takes under 5 ms unloaded. */
export const PLACEMENT_TIMEOUT_MS = 60;

/** Milliseconds for which callers keep an answer of the directory. */
export const DIRECTORY_TTL_MS = 2_000;

/** Times the directory's time to live that slow callers keep an answer. */
export const DIRECTORY_TTL_FACTOR = 3;

/** Addresses in an answer of the directory at most. */
export const MAX_DIRECTORY_ADDRESSES = 64;

/** Part of the stop grace after which new requests are refused, so that others can end. */
export const REFUSE_AFTER_SHARE = 0.55;

/** Milliseconds before the end by force at which a stopping host ends by itself. */
export const STOP_MARGIN_MS = 500;

/** Milliseconds between two checks whether a stopping host is done. */
export const STOP_CHECK_MS = 50;

/** Bytes of request line and headers that a host reads; callers stay within their own limit. */
export const MAX_HEADER_BYTES = 32_768;

/** Milliseconds between checks of header timeouts. */
export const CONNECTION_CHECK_MS = 1_000;

/** Milliseconds for which reserved memory is held unless it is renewed. */
export const RESERVATION_HOLD_MS = 3_000;

/** Milliseconds between two renewals. */
export const RESERVATION_RENEW_MS = 1_000;

/** Milliseconds between two checks for servers whose grace after a store outage has ended. */
export const LAPSE_CHECK_MS = 250;

/** Log lines a second beyond which lines below warning level are dropped and counted. */
export const MAX_LOG_LINES_PER_S = 100;

/** Milliseconds between two looks of a hub at the engines while some host has no link to it. */
export const HUB_PROBE_MS = 1_000;

/** Milliseconds for which a look at the engines serves further placements. */
export const PROBE_CACHE_MS = 400;

/** Milliseconds that a placement waits for the engines' reports. */
export const PROBE_TIMEOUT_MS = 80;

/** Engines that one look asks at most. */
export const MAX_PROBED_ENGINES = 16;
