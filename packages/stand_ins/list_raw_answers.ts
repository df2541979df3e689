/** The bytes of a complete HTTP answer, and what a client may conclude from a part of them. */
export interface RawAnswer {
  /** What is special about the answer. */
  name: string;
  /** Head and body as they are sent. */
  bytes: string;
  /** Length of the head in bytes, with informational answers and the blank line. */
  headLength: number;
  /** True if only the end of the connection ends the body. */
  endsWithConnection: boolean;
}

/**
 * Lists the ways in which a server can send the same answer with status 200.
 *
 * @param headers header lines without their ends and without a length
 * @param body the body, at least two characters long and in ASCII
 * @returns the answers
 *
 * @example
 * for (const { bytes } of listRawAnswers(["Seal: s"], "whole")) socket.end(bytes);
 */
export function listRawAnswers(headers: readonly string[], body: string): RawAnswer[] {
  const length = `Content-Length: ${body.length}`;
  const chunked = "Transfer-Encoding: chunked";
  const chunks = toChunk(body.slice(0, 1)) + toChunk(body.slice(1));
  const joinHead = (lines: readonly string[], lineEnd = "\r\n", version = "1.1") =>
    [`HTTP/${version} 200 OK`, ...lines, "", ""].join(lineEnd);
  const create = (name: string, head: string, sent: string, endsWithConnection = false) => ({
    name,
    bytes: head + sent,
    headLength: head.length,
    endsWithConnection,
  });
  return [
    create("length last in the head", joinHead([...headers, length]), body),
    create("length first in the head", joinHead([length, ...headers]), body),
    create("length and close", joinHead([length, "Connection: close", ...headers]), body),
    create("length and HTTP/1.0", joinHead([...headers, length], "\r\n", "1.0"), body),
    create("length and line feeds only", joinHead([...headers, length], "\n"), body),
    create("chunks", joinHead([...headers, chunked]), `${chunks}0\r\n\r\n`),
    create(
      "chunks and close",
      joinHead([chunked, "Connection: close", ...headers]),
      `${chunks}0\r\n\r\n`,
    ),
    create("chunks and trailer", joinHead([...headers, chunked]), `${chunks}0\r\na: b\r\n\r\n`),
    create(
      "chunks and trailer and close",
      joinHead([...headers, chunked, "Connection: close"]),
      `${chunks}0\r\na: b\r\n\r\n`,
    ),
    create(
      "continue and length",
      `HTTP/1.1 100 Continue\r\n\r\n${joinHead([...headers, length])}`,
      body,
    ),
    create(
      "informational answers and length",
      `HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\n${headers.join("\r\n")}\r\n\r\n` +
        joinHead([...headers, length]),
      body,
    ),
    create("no length", joinHead(headers), body, true),
    create("no length and close", joinHead(["Connection: close", ...headers]), body, true),
    create("no length and HTTP/1.0", joinHead(headers, "\r\n", "1.0"), body, true),
    create("no length and line feeds only", joinHead(headers, "\n"), body, true),
    create(
      "informational answer and no length",
      `HTTP/1.1 103 Early Hints\r\n\r\n${joinHead(headers)}`,
      body,
      true,
    ),
    create(
      "transfer encoding without chunks",
      joinHead([...headers, "Transfer-Encoding: identity"]),
      body,
      true,
    ),
  ];
}

function toChunk(part: string): string {
  return `${part.length.toString(16)}\r\n${part}\r\n`;
}
