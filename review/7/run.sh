#!/bin/sh
CASE=7
GATEWAYS=3
. "$(dirname "$0")/../kit-2/run.inc"
