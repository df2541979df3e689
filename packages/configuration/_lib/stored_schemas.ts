import { z } from "zod";
import type { ConfigHead, ConfigSnapshot, StoredChange } from "../types.ts";

// Unknown keys are kept, so that a host passes on what a newer version of the software has written.
// Entries are not validated again: the writer has validated them, and a host that refused a stored
// change could not apply any later one.
const headFields = {
  revision: z.int().min(1),
  snapshotRevision: z.int().min(0),
  snapshotName: z.string(),
  oldestRevision: z.int().min(1),
};

const entries = z.record(z.string(), z.unknown());

/** Schema of the head row. */
export const headSchema = z.looseObject(headFields) as unknown as z.ZodType<ConfigHead>;

/** Schema of a change row and of a change from a peer. */
export const storedChangeSchema = z.looseObject({
  ...headFields,
  changeId: z.string().min(1),
  previousId: z.string(),
  changes: z.array(z.looseObject({ section: z.string(), entries })),
  who: z.string(),
  why: z.string(),
  whenMs: z.number(),
}) as unknown as z.ZodType<StoredChange>;

/** Schema of a decoded snapshot. */
export const snapshotSchema = z.looseObject({
  ...headFields,
  changeId: z.string().min(1),
  document: z.record(z.string(), entries),
}) as unknown as z.ZodType<ConfigSnapshot>;
