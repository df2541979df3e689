#!/usr/bin/env bash
cd "$(dirname "$0")/../.." && exec node review/2/case.mjs
