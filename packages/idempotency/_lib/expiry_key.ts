import type { Clock } from "@jaypass/kernel";
import { EXPIRY_HOUR_MS, RESULT_RETENTION_MS } from "../constants.ts";

/** Digits of the hour in an index key; with a fixed length, keys sort by hour. */
const HOUR_DIGITS = 8;

const hourKey = (hour: number) => String(hour).padStart(HOUR_DIGITS, "0");

/**
 * Returns the key of the index row of a record that is written now.
 *
 * The hour is two hours after the end of the retention time, because the call ends later than its
 * record is written.
 */
export function expiryKey(record: string, clock: Clock): string {
  const hour = Math.floor((clock.wallMs() + RESULT_RETENTION_MS) / EXPIRY_HOUR_MS) + 2;
  return `${hourKey(hour)}/${record}`;
}

/** Reports whether the hour of an index row has passed. */
export function isExpiryDue(key: string, clock: Clock): boolean {
  return key < hourKey(Math.floor(clock.wallMs() / EXPIRY_HOUR_MS));
}

/** Returns the key of the record to which an index row belongs. */
export function recordOfExpiryKey(key: string): string {
  return key.slice(HOUR_DIGITS + 1);
}
