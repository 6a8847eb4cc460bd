"""Hosts of an earlier build and of this one side by side, while they are replaced in turn.

Started by `scripts/upgrade`, and by `tests/test_platform_upgrade.py` for the build in production.
"""
