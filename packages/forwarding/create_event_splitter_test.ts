import test from "ava";
import fc from "fast-check";
import { createEventSplitter } from "./create_event_splitter.ts";

test("a blank line with LF or CRLF completes an event", (t) => {
  const splitter = createEventSplitter();
  const text = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\nda";
  const events = splitter.push(Buffer.from(text));
  t.snapshot({
    events: events.map(({ bytes, id }) => ({ text: bytes.toString(), id })),
    rest: splitter.rest().toString(),
  });
});

test("the division of a stream into chunks does not change its events", (t) => {
  const text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: c\n\nid: 4\nda";
  const whole = createEventSplitter().push(Buffer.from(text));
  fc.assert(fc.property(fc.array(fc.nat(text.length), { maxLength: 8 }), (cuts) => {
    const splitter = createEventSplitter();
    const points = [0, ...cuts.toSorted((a, b) => a - b), text.length];
    const events = points.slice(1).flatMap((end, index) =>
      splitter.push(Buffer.from(text.slice(points[index], end)))
    );
    t.deepEqual(
      events.map(({ bytes, id }) => [bytes.toString(), id]),
      whole.map(({ bytes, id }) => [bytes.toString(), id]),
    );
    t.is(splitter.rest().toString(), "id: 4\nda");
  }));
});
