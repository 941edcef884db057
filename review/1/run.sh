#!/usr/bin/env bash
. "$(dirname "$0")/../standins/play.sh"
