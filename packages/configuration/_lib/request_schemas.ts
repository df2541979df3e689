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
const envelopeFields = {
  why: z.string().trim().min(1, "A reason is needed").max(500),
  baseRevision: z.int().min(0).optional(),
  changeId: z.string().regex(/^[A-Za-z0-9-]{8,64}$/).optional(),
};

/**
 * Requires a base revision together with a change id.
 *
 * A repeated request is recognized among the changes after its base revision only.
 */
function requireBaseRevision<T extends { changeId?: string; baseRevision?: number }>(
  schema: z.ZodType<T>,
) {
  return schema.refine(
    ({ changeId, baseRevision }) => changeId === undefined || baseRevision !== undefined,
    { path: ["changeId"], message: `Needs "baseRevision"` },
  );
}

/** Schema of the body of `POST diff`. */
export const diffRequestSchema: z.ZodType<DiffRequest> = z.strictObject({ changes });

/** Schema of the body of `POST apply`. */
export const applyRequestSchema: z.ZodType<ApplyRequest> = requireBaseRevision(
  z.strictObject({ ...envelopeFields, changes }),
);

/** Schema of the body of `POST roll-forward`. */
export const rollForwardRequestSchema: z.ZodType<RollForwardRequest> = requireBaseRevision(
  z.strictObject({
    ...envelopeFields,
    toRevision: z.int().min(1),
    sections: z.array(section).min(1).optional(),
  }),
);

/** Schema of the body of `POST data-centres/NAME/state`. */
export const dataCentreStateSchema: z.ZodType<DataCentreStateRequest> = requireBaseRevision(
  z.strictObject({ ...envelopeFields, state: z.enum(["in", "out"]) }),
);

/** Schema of the body of `POST backend-servers/NAME/state`. */
export const backendServerStateSchema: z.ZodType<BackendServerStateRequest> = requireBaseRevision(
  z.strictObject({ ...envelopeFields, state: z.enum(["in", "leaving"]) }),
);
