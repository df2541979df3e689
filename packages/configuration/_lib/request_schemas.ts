import { z } from "zod";
import type {
  ApplyRequest,
  BackendServerStateRequest,
  DataCentreStateRequest,
  DiffRequest,
  RollForwardRequest,
} from "../operator_api.ts";
import type { SectionName } from "../types.ts";
import { entryNameSchema, sectionNames } from "./document_schema.ts";

const section = z.enum(sectionNames as [SectionName, ...SectionName[]]);
const changes = z.array(
  z.strictObject({ section, entries: z.record(entryNameSchema, z.unknown()) }),
).min(1).max(sectionNames.length)
  .refine(
    (list) => new Set(list.map((change) => change.section)).size === list.length,
    "A section occurs twice",
  );
const envelope = {
  why: z.string().trim().min(1, "A reason is needed").max(500),
  baseRevision: z.int().min(0).optional(),
  changeId: z.string().regex(/^[A-Za-z0-9-]{8,64}$/).optional(),
};

/** A repeat is searched among the changes after the base, so the id is useless without it. */
function withBase<T extends { changeId?: string; baseRevision?: number }>(schema: z.ZodType<T>) {
  return schema.refine(
    ({ changeId, baseRevision }) => changeId === undefined || baseRevision !== undefined,
    { path: ["changeId"], message: `Needs "baseRevision"` },
  );
}

/** Body of `diff`. */
export const diffRequestSchema: z.ZodType<DiffRequest> = z.strictObject({ changes });

/** Body of `apply`. */
export const applyRequestSchema: z.ZodType<ApplyRequest> = withBase(
  z.strictObject({ ...envelope, changes }),
);

/** Body of `roll-forward`. */
export const rollForwardRequestSchema: z.ZodType<RollForwardRequest> = withBase(
  z.strictObject({
    ...envelope,
    toRevision: z.int().min(1),
    sections: z.array(section).min(1).optional(),
  }),
);

/** Body of `data-centres/NAME/state`. */
export const dataCentreStateSchema: z.ZodType<DataCentreStateRequest> = withBase(
  z.strictObject({ ...envelope, state: z.enum(["in", "out"]) }),
);

/** Body of `backend-servers/NAME/state`. */
export const backendServerStateSchema: z.ZodType<BackendServerStateRequest> = withBase(
  z.strictObject({ ...envelope, state: z.enum(["in", "leaving"]) }),
);
