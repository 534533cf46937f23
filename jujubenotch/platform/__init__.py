"""Translates between the users' platform and the product; decides nothing.

Features: ``features/platform``.
"""
