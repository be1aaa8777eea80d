#!/bin/bash
# Writes what was sent, answered and run to record.txt in this folder.
folder="$(cd "$(dirname "$0")" && pwd)"
exec python3 -B "$folder/case.py" "$folder/record.txt"
