"""Code that libraries generate while they are imported, compiled once by the build.

attrs writes the methods of each class as text and compiles it at every start of a
process. Python keeps compiled modules beside their sources, but not this. From the
cache, and with our folders last on the path, a node is loaded in 0.317 s instead of
0.356 s (medians of five on the machine of development). What remains of the compiling
is code that has a hash in it, which differs from process to process.

The build runs ``record`` and a node ``use``; a text that is not in the cache is
compiled as usual, so that a stale cache costs time only.
"""

import builtins
import marshal
import sys
from pathlib import Path

CACHE = Path(__file__).resolve().parent.parent / "target" / "generated-code"
"""Where the build puts the cache."""

_compile = builtins.compile


def record() -> None:
    """Import a node and write what was compiled meanwhile."""
    seen = {}

    def recording(source, filename, mode, *args, **options):
        code = _compile(source, filename, mode, *args, **options)
        if isinstance(source, str) and not args and not options:
            seen[source, filename, mode] = code
        return code

    builtins.compile = recording
    import fordhatch.node  # noqa: F401, PLC0415

    builtins.compile = _compile
    CACHE.write_bytes(marshal.dumps((sys.version, seen)))


def use() -> None:
    """Take compiled code from the cache until ``stop`` is called."""
    try:
        version, cached = marshal.loads(CACHE.read_bytes())
    except (OSError, ValueError, EOFError, TypeError):
        # No build, or an incomplete one: everything is compiled here.
        return
    if version != sys.version:
        return

    def lookup(source, filename, mode, *args, **options):
        if isinstance(source, str) and not args and not options:
            code = cached.get((source, filename, mode))
            if code is not None:
                return code
        return _compile(source, filename, mode, *args, **options)

    builtins.compile = lookup


def stop() -> None:
    """Compile as usual again."""
    builtins.compile = _compile
