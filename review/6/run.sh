#!/bin/sh
CASE=6
GATEWAYS=2
. "$(dirname "$0")/../kit-2/run.inc"
