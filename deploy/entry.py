"""Entry point that starts a node on the platform from the sources.

The build runs ``entry.py --record`` to fill the cache of compiled code.
"""

import gc
import os
import signal
import sys
from pathlib import Path

# Objects loaded at start-up stay alive; garbage collection would take a tenth of the
# time until the node listens.
gc.disable()

# Settings that change while the node starts are read by it; by default the signal that
# tells of them ends the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

ROOT = Path(__file__).resolve().parent.parent

# The HTTP library loads TLS certificates on import, which takes a fifth of the start-up
# time. No connection of a node uses TLS.
os.environ["SSL_CERT_FILE"] = os.devnull
os.environ["SSL_CERT_DIR"] = os.devnull

# Append: each path entry ahead of the libraries' folder is searched at each of their
# imports.
sys.path += [
    str(ROOT / "platform" / "src"),
    *map(str, sorted(ROOT.glob("packages/*/src"))),
]

import compile_cache  # noqa: E402

if "--record" in sys.argv:
    compile_cache.record()
    sys.exit()

# Open the port before the libraries are loaded: callers that connect meanwhile wait
# instead of being refused by a closed port.
from fordhatch_early import open_callers_port  # noqa: E402

callers_socket = open_callers_port()
compile_cache.use()

from fordhatch.node import run_on_platform  # noqa: E402

compile_cache.stop()
gc.freeze()
gc.enable()

if __name__ == "__main__":
    run_on_platform(callers_socket)
