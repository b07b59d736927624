#!/bin/sh
# Runs this case; see ../run_case.sh.
here=$(dirname "$0")
exec "$here/../run_case.sh" memory-limit "$here"
