import type { Clock } from "@jaypass/kernel";
import { EXPIRY_HOUR_MS, RESULT_RETENTION_MS } from "../constants.ts";

/** Keeps index keys of equal length, so that their order is the order of the hours. */
const HOUR_DIGITS = 8;

const hourKey = (hour: number) => String(hour).padStart(HOUR_DIGITS, "0");

/** Key of the index row of a record that is written now; two hours are left for its end. */
export function expiryKey(record: string, clock: Clock): string {
  const hour = Math.floor((clock.wallMs() + RESULT_RETENTION_MS) / EXPIRY_HOUR_MS) + 2;
  return `${hourKey(hour)}/${record}`;
}

/** Reports whether the hour of an index row has passed. */
export function isExpiryDue(key: string, clock: Clock): boolean {
  return key < hourKey(Math.floor(clock.wallMs() / EXPIRY_HOUR_MS));
}

/** The record of an index row. */
export function recordOfExpiryKey(key: string): string {
  return key.slice(HOUR_DIGITS + 1);
}
