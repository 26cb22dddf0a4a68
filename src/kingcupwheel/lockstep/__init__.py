"""Expert map changes of engine groups whose ranks run every pass in lock-step.

The agent of rank 0 coordinates the changes of its group. The other agents execute
its orders at their local backend server and return what that server reports.
"""

from __future__ import annotations
