#!/bin/sh
cd "$(dirname "$0")" && exec ../standins-2/run_case.sh heads_without_end.py
