"""Serve token generations of unknown length on heavily loaded model engines."""

__version__ = "0.1.0"
