"""Starts a node on the users' platform from the sources.

``entry.py --record`` fills the cache of compiled code, as the build does.
"""

import gc
import os
import sys
from pathlib import Path

# Nothing that is loaded at the start is ever garbage; looking for it takes a tenth of
# the time until the node listens.
gc.disable()

ROOT = Path(__file__).resolve().parent.parent

# The HTTP library loads certificates when it is imported, a fifth of the time to
# start. No connection of a node uses TLS.
os.environ["SSL_CERT_FILE"] = os.devnull
os.environ["SSL_CERT_DIR"] = os.devnull

# At the end: each folder before a library's costs a look there at each of its imports.
sys.path += [
    str(ROOT / "platform" / "src"),
    *map(str, sorted(ROOT.glob("packages/*/src"))),
]

import compile_cache  # noqa: E402

if "--record" in sys.argv:
    compile_cache.record()
    sys.exit()

# Before the libraries are loaded: callers who come meanwhile wait instead of being
# turned away by a closed port.
from fordhatch_early import open_callers_port  # noqa: E402

callers_socket = open_callers_port()
compile_cache.use()

from fordhatch.node import run_on_platform  # noqa: E402

compile_cache.stop()
gc.freeze()
gc.enable()

if __name__ == "__main__":
    run_on_platform(callers_socket)
