"""Test doubles of the platform, the store, the upstreams and the network.

A model engine and a plain service stand in for upstreams, and a TCP relay for the
network between two processes.
"""
