"""Starts a forwarding host on the platform.

`python -m` imports `runpy` and what that needs first, and a restarted host
forwards nothing meanwhile.
"""

import sys

# In place of this folder: the folder that holds the package.
sys.path[0] = sys.path[0].rpartition("/")[0]

from persimmonhinge.cmd import forward  # noqa: E402

forward.main()
