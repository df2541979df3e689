import type { ServiceName } from "./types.ts";

/**
 * Creates a typed service name.
 *
 * @param id unique name, for example `"platform.table"`
 * @returns the name, for use in `needs` and in lookups
 *
 * @example
 * const TABLE = serviceName<TableClient>("platform.table");
 */
export function serviceName<T>(id: string): ServiceName<T> {
  return { id };
}
