import type { ZodType } from "zod";
import { STORE_FAILURE, StoreError } from "../errors.ts";
import type { StoreResponse } from "./create_store_transport.ts";

/** Parses the JSON body of a response and validates it. */
export function parseResponse<T>(service: string, answer: StoreResponse, schema: ZodType<T>): T {
  try {
    return schema.parse(JSON.parse(new TextDecoder().decode(answer.bytes)));
  } catch (cause) {
    throw new StoreError(`Response of "${service}" does not match the schema`, {
      reason: STORE_FAILURE.PROTOCOL,
      mayTakeEffect: true,
      cause,
    });
  }
}
