import type { ZodType } from "zod";
import { STORE_FAILURE, StoreError } from "../errors.ts";
import type { StoreResponse } from "./create_store_transport.ts";

/** Parses the JSON body of a response and validates it. */
export function parseResponse<T>(service: string, res: StoreResponse, schema: ZodType<T>): T {
  try {
    return schema.parse(JSON.parse(new TextDecoder().decode(res.bytes)));
  } catch (cause) {
    throw new StoreError(`Answer of "${service}" has another form than expected`, {
      reason: STORE_FAILURE.PROTOCOL,
      mayTakeEffect: true,
      cause,
    });
  }
}
