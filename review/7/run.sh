#!/bin/sh
cd "$(dirname "$0")" && exec ../standins-2/run_case.sh usual_beside_bad.py
