"""Starts a forwarding host on the platform.

`python -m` imports `runpy` and what that needs first, and a restarted host
forwards nothing meanwhile.
"""

# Before all other imports: the default actions would end a host that is told
# of new settings, or print a traceback.
import _signal

_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
_signal.signal(_signal.SIGINT, _signal.SIG_DFL)

import os  # noqa: E402
import sys  # noqa: E402

_FOLDER, _, _ = os.path.realpath(__file__).rpartition("/")
_ROOT = _FOLDER.rpartition("/")[0]
_PACKAGES = _ROOT + "/target/deps"

# In place of this folder, which is there unless the interpreter runs with -P:
# the folder that holds the package.
if not sys.flags.safe_path:
    del sys.path[0]
sys.path.insert(0, _ROOT)
if _PACKAGES not in sys.path:
    sys.path.insert(1, _PACKAGES)

from persimmonhinge.cmd import forward  # noqa: E402

forward.main()
