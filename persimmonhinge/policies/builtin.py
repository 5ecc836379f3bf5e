"""Registers all built-in choice and order policies."""

from persimmonhinge.policies import choice_free_slot
from persimmonhinge.policies import choice_least_connections
from persimmonhinge.policies import choice_least_loaded
from persimmonhinge.policies import choice_near_first
from persimmonhinge.policies import choice_power_of_two
from persimmonhinge.policies import choice_random
from persimmonhinge.policies import choice_round_robin
from persimmonhinge.policies import order_deadline
from persimmonhinge.policies import order_fifo
from persimmonhinge.policies import order_priority

# Importing a module registers its policy.
__all__ = [
    "choice_free_slot",
    "choice_least_connections",
    "choice_least_loaded",
    "choice_near_first",
    "choice_power_of_two",
    "choice_random",
    "choice_round_robin",
    "order_deadline",
    "order_fifo",
    "order_priority",
]
