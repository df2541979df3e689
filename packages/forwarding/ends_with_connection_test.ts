import type { IncomingHttpHeaders } from "node:http";
import test from "ava";
import { endsWithConnection } from "./ends_with_connection.ts";

const CASES: readonly [method: string, statusCode: number, IncomingHttpHeaders, boolean][] = [
  ["GET", 200, {}, true],
  ["GET", 500, {}, true],
  ["POST", 200, { "content-length": "0" }, false],
  ["POST", 200, { "transfer-encoding": "chunked" }, false],
  ["POST", 200, { "transfer-encoding": "gzip, Chunked " }, false],
  ["POST", 200, { "transfer-encoding": "identity" }, true],
  ["POST", 200, { "transfer-encoding": "chunked, gzip" }, true],
  ["POST", 200, { "transfer-encoding": "unchunked" }, true],
  ["HEAD", 200, {}, false],
  ["GET", 204, {}, false],
  ["GET", 304, {}, false],
];

test("an answer without a body, with a length or with chunks does not end with its connection", (t) => {
  for (const [method, statusCode, headers, expected] of CASES) {
    t.is(endsWithConnection(method, { statusCode, headers }), expected, JSON.stringify(headers));
  }
});
