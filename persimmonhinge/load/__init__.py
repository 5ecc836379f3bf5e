"""The load tool: callers, their record and the report."""
