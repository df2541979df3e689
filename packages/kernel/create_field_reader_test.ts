import test from "ava";
import fc from "fast-check";
import { createFieldReader } from "./create_field_reader.ts";
import { DecodeError } from "./errors.ts";

const PORT = { min: 1, max: 65_535 };

test("a value that is no object is refused", (t) => {
  for (const value of [null, undefined, [], "a", 1, true]) {
    t.throws(() => createFieldReader(value), { instanceOf: DecodeError });
  }
});

test("a number out of its range, not finite or not whole is refused", (t) => {
  const fields = createFieldReader(
    JSON.parse('{"ok":80,"zero":0,"large":99999,"huge":1e400,"part":1.5,"unsafe":1e300}'),
  );
  t.is(fields.integer("ok", PORT), 80);
  t.is(fields.integerOr("missing", 7, PORT), 7);
  for (const name of ["zero", "large", "huge", "part", "unsafe", "missing"]) {
    t.throws(() => fields.integer(name, PORT), { instanceOf: DecodeError });
  }
});

test("an empty text and one that is too long are refused", (t) => {
  const fields = createFieldReader({ empty: "", long: "x".repeat(201), ok: "x".repeat(200) });
  t.is(fields.text("ok").length, 200);
  t.throws(() => fields.text("empty"), { instanceOf: DecodeError });
  t.throws(() => fields.text("long"), { instanceOf: DecodeError });
});

test("the error of a field stays short for a long or deeply nested value", (t) => {
  const nested = JSON.parse(`${"[".repeat(100_000)}${"]".repeat(100_000)}`);
  const fields = createFieldReader({ nested, long: "x".repeat(100_000) });
  for (const name of ["nested", "long"]) {
    t.true((t.throws(() => fields.number(name))?.message.length ?? Infinity) < 200);
  }
});

test("a field of an arbitrary value is read or refused with a DecodeError", (t) => {
  const methods = ["string", "text", "number", "integer", "list", "strings", "object"] as const;
  fc.assert(fc.property(fc.jsonValue(), fc.constantFrom(...methods), (value, method) => {
    try {
      createFieldReader({ field: value })[method]("field");
    } catch (err) {
      if (!(err instanceof DecodeError)) throw err;
    }
  }));
  t.pass();
});
