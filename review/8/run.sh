#!/bin/sh
CASE=8
GATEWAYS=9
. "$(dirname "$0")/../kit-2/run.inc"
