"""Measurements, the demo and the randomised run, all on loopback."""
