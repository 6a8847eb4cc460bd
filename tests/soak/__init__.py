"""Randomized fault soak: real processes, stand-in servers, faults from outside, checked promises.

Run by ``scripts/soak --seed N --minutes M``. A seed fixes the series of faults, their targets and
the stand-ins' own failures; the processes' timing differs between runs.
"""
