/**
 * Limits on clients, and the costs at which memory is counted.
 *
 * @module
 */

/** Descriptors of a host that are left for files, listeners and links. */
export const RESERVED_DESCRIPTORS = 200;

/** Share of the other descriptors for connections of callers; each may need one to a server. */
export const CALLER_DESCRIPTOR_SHARE = 0.5;

/** Share of a host's connections that one address of callers may have. */
export const MAX_ADDRESS_SHARE = 0.75;

/** Connections of callers that a host accepts in any case. */
export const MIN_CALLER_CONNECTIONS = 64;

/** Memory of the process that does not depend on its callers: 54 MB after the start, and garbage. */
export const BASE_MEMORY_BYTES = 90 * 1024 * 1024;

/** Share of the other memory that is held for callers; the rest is left to garbage. */
export const HELD_MEMORY_SHARE = 0.4;

/** Memory that is held for callers in any case: some bodies of the largest size. */
export const MIN_HELD_MEMORY_BYTES = 16 * 1024 * 1024;

/** Part of the heap of V8 that the program itself takes, with garbage. */
export const BASE_HEAP_BYTES = 40 * 1024 * 1024;

/** Share of the rest of the heap that the heads of requests may take. */
export const HEAD_HEAP_SHARE = 0.6;

/** Memory that heads may take in any case. */
export const MIN_HEAD_BYTES = 16 * 1024 * 1024;

/** Memory of an open connection without a request; 3,000 of them took 28 MB. */
export const CONNECTION_COST_BYTES = 10 * 1024;

/** Memory of a header line beside its text: two strings and their places in lists. */
export const HEADER_LINE_COST_BYTES = 200;

/** Memory of a request in progress beside its headers and body. */
export const REQUEST_COST_BYTES = 6 * 1024;

/** Memory of a piece of received bytes beside the bytes. */
export const PIECE_COST_BYTES = 256;

/** Pieces of unread bytes of a connection above which they are joined. */
export const MAX_UNREAD_PIECES = 16;

/** Unread bytes of a connection above which its socket is not read. */
export const MAX_UNREAD_BYTES = 65_536;

/** Bytes of one connection that are parsed before the others have their turn. */
export const PARSE_TURN_BYTES = 16_384;

/** Time after which a turn ends with the slice that is being parsed. */
export const MAX_TURN_MS = 2;

/**
 * Most bytes of a head or of a body in chunks that are parsed at a time: lines and chunks of a few bytes
 * take about a millisecond then.
 */
export const MAX_FRAMED_SLICE_BYTES = 8_192;

/** Time in one turn of the event loop for which connections are served as their bytes come. */
export const MAX_DIRECT_MS = 2;

/** Least time that a turn counts for. */
export const MIN_TURN_COST_MS = 0.05;

/** Time that a request takes after its head was parsed: the calls to its server, and its answer. */
export const REQUEST_TURN_MS = 1;

/** Part of the memory for callers that the unread bytes of one address may take. */
export const MAX_ADDRESS_UNREAD_SHARE = 1 / 8;

/** Unread bytes that an address may have in any case. */
export const MIN_ADDRESS_UNREAD_BYTES = 1024 * 1024;

/** Interval at which connections of an address over its bound are admitted to be read. */
export const ADDRESS_READ_INTERVAL_MS = 10;

/** Connections that are admitted at a time; each may read 64 KB. */
export const ADMITTED_READS = 8;

/** Part of the memory for callers above which an address gives up small holders as well. */
export const MAX_ADDRESS_MEMORY_SHARE = 1 / 2;

/** Part of the memory for callers that may be dropped before it is collected. */
export const COLLECTION_SHARE = 1 / 4;

/** Least memory that is worth a collection. */
export const MIN_COLLECTION_BYTES = 1024 * 1024;

/** Memory that is used beyond what is held, as a part of the limit, above which all is collected. */
export const EXCESS_SHARE = 1 / 4;

/** Shortest time between two collections of all memory. */
export const MIN_FULL_COLLECTION_MS = 20;

/** Part of the time that collections of all memory may take. */
export const MAX_FULL_COLLECTION_SHARE = 1 / 3;

/**
 * Least bytes that a slice counts for in a turn. A body of line ends is parsed in slices of a few bytes,
 * each of which takes as long as some hundred bytes of a long one.
 */
export const MIN_SLICE_COST_BYTES = 256;

/** Bytes before the end of a head, empty lines included, above which the head is refused. */
export const MAX_UNENDED_HEAD_BYTES = 65_536;

/** Held bytes up to which a connection is not closed for memory: an ordinary head. */
export const SMALL_HOLDER_BYTES = 16_384;

/** Pieces of a body below this size are copied together, since each costs more than its bytes. */
export const SMALL_PIECE_BYTES = 4_096;

/** Smallest and largest block that small pieces of a body are copied into. */
export const MIN_BODY_BLOCK_BYTES = 1_024;
export const MAX_BODY_BLOCK_BYTES = 65_536;

/** Interval of the log line that tells how often limits on callers took effect. */
export const LIMIT_LOG_INTERVAL_MS = 5_000;
