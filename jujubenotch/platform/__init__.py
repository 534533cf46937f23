"""The adapter to the users' platform: translates its formats, makes no decisions.

Features: ``features/platform``.
"""
