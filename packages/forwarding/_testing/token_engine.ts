/** Profile of an engine that decodes a token a millisecond. */
export const TOKEN_ENGINE = {
  slots: 1,
  memoryTokens: 100_000,
  stepMs: 1,
  perWriterMs: 0,
  contextMsPerThousand: 0,
  readTokensPerMs: 100,
  pairMsPerMillion: 0,
  stepsPerPass: 10,
  chunkTokens: 2_000,
  usualPromptTokens: 1_000,
  usualAnswerTokens: 100,
};
