"""Policies that a contract names."""

from persimmonhinge.policies import order_deadline
from persimmonhinge.policies import order_fifo
from persimmonhinge.policies import order_priority

# Importing a module enters its policy in the registry.
__all__ = ["order_deadline", "order_fifo", "order_priority"]
